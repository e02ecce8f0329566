package org.cranberrystand.audit;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock: close to wall-clock time, and consistent with cause and effect.
 *
 * <p>A timestamp is greater than every timestamp that this clock returned or received before, even
 * when the wall clock is set back or differs between nodes. Safe for use by several threads.
 */
public final class HybridClock {
  private final LongSupplier wallMillis;
  private final AtomicReference<HybridTimestamp> last = new AtomicReference<>(HybridTimestamp.ZERO);

  /**
   * Creates a clock.
   *
   * @param wallMillis returns the wall-clock time in milliseconds; it may go back
   */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /**
   * Returns the time of a local event or of a message that is sent.
   *
   * @return a timestamp greater than all earlier ones
   */
  public HybridTimestamp tick() {
    return advanceBeyond(HybridTimestamp.ZERO);
  }

  /**
   * Returns the time of the receipt of a message.
   *
   * @param remote the timestamp in the message
   * @return a timestamp greater than all earlier ones and than the one received
   */
  public HybridTimestamp receive(HybridTimestamp remote) {
    return advanceBeyond(remote);
  }

  private HybridTimestamp advanceBeyond(HybridTimestamp remote) {
    long wall = wallMillis.getAsLong();
    return last.updateAndGet(
        previous -> {
          HybridTimestamp floor = previous.compareTo(remote) >= 0 ? previous : remote;
          return wall > floor.wallMillis()
              ? new HybridTimestamp(wall, 0)
              : new HybridTimestamp(floor.wallMillis(), floor.counter() + 1);
        });
  }
}
