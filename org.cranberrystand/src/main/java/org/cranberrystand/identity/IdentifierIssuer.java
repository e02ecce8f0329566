package org.cranberrystand.identity;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.util.MonotonicClock;

/**
 * Issues the request identifiers of one incarnation and checks whether they are still valid.
 *
 * <p>Validity is tracked per time interval instead of per identifier: the issuer stores only the
 * first sequence number of each interval, so its state is bounded by the number of intervals in the
 * identifier lifetime. Thread-safe.
 */
public final class IdentifierIssuer {

  /** Validity of a request identifier. */
  public enum Validity {
    /** This incarnation issued the identifier, and it has not expired. */
    VALID,
    /** This incarnation issued the identifier, but it has expired. */
    EXPIRED,
    /** This incarnation never issued the identifier. */
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
   * @param incarnation the incarnation of this node
   * @param clock the clock that determines expiry
   * @param lifetimeNanos the minimum lifetime of an identifier, in nanoseconds
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
   * @return a new, unique identifier
   */
  public RequestId next() {
    startIntervalIfDue();
    return new RequestId(incarnation, nextSequence.getAndIncrement());
  }

  /**
   * Issues a block of identifiers.
   *
   * @param count the number of identifiers
   * @return new, unique identifiers with consecutive sequence numbers
   */
  public ImmutableList<RequestId> nextBlock(int count) {
    startIntervalIfDue();
    long first = nextSequence.getAndAdd(count);
    ImmutableList.Builder<RequestId> block = ImmutableList.builderWithExpectedSize(count);
    for (int i = 0; i < count; i++) {
      block.add(new RequestId(incarnation, first + i));
    }
    return block.build();
  }

  /**
   * Returns the current validity of an identifier.
   *
   * @param id an identifier of this incarnation
   * @return the validity
   * @throws IllegalArgumentException if another incarnation issued the identifier
   */
  public Validity validityOf(RequestId id) {
    if (!id.issuer().equals(incarnation)) {
      throw new IllegalArgumentException(
          "identifier " + id + " was not issued by incarnation " + incarnation);
    }
    if (id.sequence() >= nextSequence.get()) {
      return Validity.NEVER_ISSUED;
    }
    return id.sequence() >= firstValidSequence() ? Validity.VALID : Validity.EXPIRED;
  }

  /**
   * Returns the lowest sequence number that is still valid.
   *
   * @return a sequence number that never decreases
   */
  public long firstValidSequence() {
    // Read before the intervals, so that identifiers issued in between are not reported as expired.
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

  // An interval ends after intervalNanos even if no later interval was started, so that identifiers
  // also expire on a node that is idle or was paused.
  private long endNanos(ImmutableList<Interval> list, int index, long now) {
    long limit = list.get(index).startNanos() + intervalNanos;
    long end = index + 1 < list.size() ? list.get(index + 1).startNanos() : now;
    return end - limit < 0 ? end : limit;
  }

  private void startIntervalIfDue() {
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
