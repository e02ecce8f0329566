package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import org.cranberrystand.util.BoundedMap;

/**
 * The upstreams that said that they run, or ran a moment ago, the request that began a stream.
 *
 * <p>Bounded: the oldest entries are evicted first. Not thread-safe.
 */
public final class StreamRuns {
  private static final int MAX_ENTRIES = 20_000;

  /** Callers resume a stream before its deadline, which is shorter. */
  private static final long LIFETIME_NANOS = 60_000_000_000L;

  private record Entry(ImmutableSet<StreamOrigins.Origin> origins, long recordedNanos) {}

  private final Map<String, Entry> entries = new BoundedMap<>(MAX_ENTRIES);

  /**
   * Records that an upstream made events for a request.
   *
   * @param run the request, and the pool and software version of the upstream
   * @param nowNanos the current time, in nanoseconds
   */
  public void recorded(StreamOrigins.Origin run, long nowNanos) {
    Entry before = entries.remove(run.stream());
    ImmutableSet.Builder<StreamOrigins.Origin> origins = ImmutableSet.builder();
    if (before != null) {
      origins.addAll(before.origins());
    }
    entries.put(run.stream(), new Entry(origins.add(run).build(), nowNanos));
  }

  /**
   * Returns where a stream can have begun.
   *
   * @param stream the identifier of the request that received its first event
   * @return the pools and versions whose upstreams made events for the request
   */
  public ImmutableList<StreamOrigins.Origin> origins(String stream) {
    Entry entry = entries.get(stream);
    return entry == null ? ImmutableList.of() : entry.origins().asList();
  }

  /**
   * Returns the number of requests of which runs are known.
   *
   * @return the number of requests
   */
  public int size() {
    return entries.size();
  }

  /**
   * Removes entries of streams that have ended by now.
   *
   * @param nowNanos the current time, in nanoseconds
   */
  public void expire(long nowNanos) {
    var oldest = entries.values().iterator();
    while (oldest.hasNext() && nowNanos - oldest.next().recordedNanos() >= LIFETIME_NANOS) {
      oldest.remove();
    }
  }
}
