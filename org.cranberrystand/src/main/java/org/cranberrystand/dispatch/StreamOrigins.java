package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.cranberrystand.util.BoundedMap;

/**
 * The pool and software version at which streams began, by the identifier of the request that
 * received the first event.
 *
 * <p>A stream may go on only at the version that began it, and its caller may resume it at any
 * node. So nodes pass on what they know. Bounded: the oldest entries are evicted first. Not
 * thread-safe.
 */
public final class StreamOrigins {
  private static final int MAX_ENTRIES = 50_000;

  /** Callers resume a stream before its deadline, which is shorter. */
  private static final long LIFETIME_NANOS = 60_000_000_000L;

  /** Covers several reports, so that a lost one does no harm. */
  private static final long REPORT_NANOS = 300_000_000L;

  /** Limits the size of a report; nodes ask for entries that they did not get. */
  private static final int MAX_REPORTED = 400;

  /**
   * The origin of a stream.
   *
   * @param stream the identifier of the request that received the first event
   * @param pool the pool of the upstream
   * @param softwareVersion the version of the upstream's software
   */
  public record Origin(String stream, String pool, String softwareVersion) {}

  private record Entry(Origin origin, long recordedNanos) {}

  private final Map<String, Entry> entries = new BoundedMap<>(MAX_ENTRIES);
  private final Deque<Entry> begunHere = new ArrayDeque<>();

  /**
   * Records the first event of a stream that this node passes on.
   *
   * @param stream the identifier of the caller's request
   * @param upstream the upstream that sent the event
   * @param nowNanos the current time
   */
  public void began(String stream, RegisteredUpstream upstream, long nowNanos) {
    Entry entry =
        new Entry(new Origin(stream, upstream.pool(), upstream.softwareVersion()), nowNanos);
    entries.putIfAbsent(stream, entry);
    begunHere.addLast(entry);
    removeReported(nowNanos);
  }

  /**
   * Records an origin that another node reported.
   *
   * @param origin the origin
   * @param nowNanos the current time
   */
  public void reported(Origin origin, long nowNanos) {
    entries.putIfAbsent(origin.stream(), new Entry(origin, nowNanos));
  }

  /**
   * Returns the origin of a stream.
   *
   * @param stream the identifier of the request that received its first event
   * @return the origin; empty if this node does not know it
   */
  public Optional<Origin> find(String stream) {
    return Optional.ofNullable(entries.get(stream)).map(Entry::origin);
  }

  /**
   * Returns the streams that began at this node recently, to be passed on to other nodes.
   *
   * @param nowNanos the current time
   * @return the origins of the newest streams
   */
  public ImmutableList<Origin> recent(long nowNanos) {
    removeReported(nowNanos);
    return begunHere.stream().map(Entry::origin).collect(ImmutableList.toImmutableList());
  }

  private void removeReported(long nowNanos) {
    while (!begunHere.isEmpty()
        && (begunHere.size() > MAX_REPORTED
            || nowNanos - begunHere.peekFirst().recordedNanos() >= REPORT_NANOS)) {
      begunHere.removeFirst();
    }
  }

  /**
   * Removes entries of streams that have ended by now.
   *
   * @param nowNanos the current time
   */
  public void expire(long nowNanos) {
    var oldest = entries.values().iterator();
    while (oldest.hasNext() && nowNanos - oldest.next().recordedNanos() >= LIFETIME_NANOS) {
      oldest.remove();
    }
  }
}
