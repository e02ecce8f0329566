package org.cranberrystand.audit;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock: its timestamps are close to wall-clock time and respect causal order.
 *
 * <p>Each timestamp is greater than every timestamp that this clock returned or received before,
 * even if the wall clock is set back or the clocks of nodes differ. Thread-safe.
 */
public final class HybridClock {
  private final LongSupplier wallMillis;
  private final AtomicReference<HybridTimestamp> last = new AtomicReference<>(HybridTimestamp.ZERO);

  /**
   * Creates a clock.
   *
   * @param wallMillis supplies the wall-clock time in milliseconds, which may decrease
   */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /**
   * Returns the timestamp of a local event or of a sent message.
   *
   * @return a timestamp greater than all earlier timestamps
   */
  public HybridTimestamp tick() {
    return advancePast(HybridTimestamp.ZERO);
  }

  /**
   * Returns the timestamp of the receipt of a message.
   *
   * @param remote the timestamp in the message
   * @return a timestamp greater than all earlier timestamps and the received timestamp
   */
  public HybridTimestamp receive(HybridTimestamp remote) {
    return advancePast(remote);
  }

  private HybridTimestamp advancePast(HybridTimestamp remote) {
    long wall = wallMillis.getAsLong();
    return last.updateAndGet(
        previous -> {
          HybridTimestamp lowerBound = previous.compareTo(remote) >= 0 ? previous : remote;
          return wall > lowerBound.wallMillis()
              ? new HybridTimestamp(wall, 0)
              : new HybridTimestamp(lowerBound.wallMillis(), lowerBound.counter() + 1);
        });
  }
}
