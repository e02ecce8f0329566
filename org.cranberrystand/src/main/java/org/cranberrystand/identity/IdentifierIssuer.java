package org.cranberrystand.identity;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.util.MonotonicClock;

/**
 * Issues the identifiers of one incarnation and knows which of them are still valid.
 *
 * <p>Validity is kept per time interval and not per identifier: the issuer remembers the first
 * sequence number of each interval. The state is therefore bounded by the identifier lifetime
 * divided by the interval. Safe for use by several threads.
 */
public final class IdentifierIssuer {

  /** Validity of an identifier. */
  public enum Validity {
    /** Issued by this incarnation and not expired. */
    VALID,
    /** Issued by this incarnation too long ago. */
    EXPIRED,
    /** Never issued by this incarnation. */
    NEVER_ISSUED
  }

  private static final int INTERVALS_PER_LIFETIME = 60;

  private record Interval(long startNanos, long firstSequence) {}

  private final Incarnation incarnation;
  private final MonotonicClock clock;
  private final long lifetimeNanos;
  private final long intervalNanos;
  private final AtomicLong nextSequence = new AtomicLong();
  private final AtomicReference<ImmutableList<Interval>> intervals;

  /**
   * Creates an issuer.
   *
   * @param incarnation the incarnation that issues
   * @param clock the clock on which identifiers expire
   * @param lifetimeNanos how long an identifier is valid at least, in nanoseconds
   */
  public IdentifierIssuer(Incarnation incarnation, MonotonicClock clock, long lifetimeNanos) {
    this.incarnation = incarnation;
    this.clock = clock;
    this.lifetimeNanos = lifetimeNanos;
    this.intervalNanos = Math.max(1, lifetimeNanos / INTERVALS_PER_LIFETIME);
    this.intervals = new AtomicReference<>(ImmutableList.of(new Interval(clock.nowNanos(), 0)));
  }

  public Incarnation incarnation() {
    return incarnation;
  }

  /**
   * Issues one identifier.
   *
   * @return an identifier that was not issued before
   */
  public RequestId next() {
    openInterval();
    return new RequestId(incarnation, nextSequence.getAndIncrement());
  }

  /**
   * Issues several identifiers.
   *
   * @param count how many
   * @return identifiers that were not issued before
   */
  public ImmutableList<RequestId> nextBlock(int count) {
    openInterval();
    long first = nextSequence.getAndAdd(count);
    ImmutableList.Builder<RequestId> block = ImmutableList.builderWithExpectedSize(count);
    for (int i = 0; i < count; i++) {
      block.add(new RequestId(incarnation, first + i));
    }
    return block.build();
  }

  /**
   * Tells whether an identifier may still be used.
   *
   * @param id an identifier of this incarnation
   * @return its validity now
   * @throws IllegalArgumentException if another incarnation issued the identifier
   */
  public Validity validityOf(RequestId id) {
    if (!id.issuer().equals(incarnation)) {
      throw new IllegalArgumentException("issued by another incarnation: " + id);
    }
    if (id.sequence() >= nextSequence.get()) {
      return Validity.NEVER_ISSUED;
    }
    return id.sequence() >= firstValidSequence() ? Validity.VALID : Validity.EXPIRED;
  }

  /**
   * Returns the lowest sequence number that is still valid.
   *
   * @return a number that never decreases
   */
  public long firstValidSequence() {
    // Read before the intervals: identifiers issued in between must not be taken for expired.
    long next = nextSequence.get();
    long now = clock.nowNanos();
    ImmutableList<Interval> current = intervals.get();
    for (int i = 0; i < current.size(); i++) {
      if (now - endNanos(current, i, now) < lifetimeNanos) {
        return current.get(i).firstSequence();
      }
    }
    return next;
  }

  // An interval ends even if no identifier is issued after it, so that the identifiers of a node
  // that was paused or idle expire as well.
  private long endNanos(ImmutableList<Interval> list, int index, long now) {
    long limit = list.get(index).startNanos() + intervalNanos;
    long end = index + 1 < list.size() ? list.get(index + 1).startNanos() : now;
    return end - limit < 0 ? end : limit;
  }

  private void openInterval() {
    long now = clock.nowNanos();
    while (true) {
      ImmutableList<Interval> current = intervals.get();
      Interval last = current.get(current.size() - 1);
      if (now - last.startNanos() < intervalNanos) {
        return;
      }
      if (intervals.compareAndSet(current, withNewInterval(current, now))) {
        return;
      }
    }
  }

  private ImmutableList<Interval> withNewInterval(ImmutableList<Interval> current, long now) {
    ImmutableList.Builder<Interval> next = ImmutableList.builder();
    for (int i = 0; i < current.size(); i++) {
      if (now - endNanos(current, i, now) < lifetimeNanos) {
        next.add(current.get(i));
      }
    }
    return next.add(new Interval(now, nextSequence.get())).build();
  }
}
