package org.cranberrystand.order;

import com.google.common.collect.ImmutableSortedSet;
import org.cranberrystand.bundle.EngineRole;

/** Engine in memory that follows orders after a load time. */
final class FakeOrderedEngine {
  private final String name;
  private final boolean checksFencing;
  private final long loadNanos;
  private EngineTarget current;
  private long readyAtNanos = Long.MIN_VALUE;
  private long highestFencingNumber;

  FakeOrderedEngine(String name, boolean checksFencing, long loadNanos, String version) {
    this.name = name;
    this.checksFencing = checksFencing;
    this.loadNanos = loadNanos;
    this.current =
        new EngineTarget("assistant", version, ImmutableSortedSet.of(), EngineRole.MIXED);
  }

  OrderResult receive(EngineOrder order, long nowNanos) {
    if (checksFencing && order.fencingNumber() <= highestFencingNumber) {
      return OrderResult.FENCED;
    }
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
    if (!order.target().equals(current)) {
      current = order.target();
      readyAtNanos = nowNanos + loadNanos;
    }
    return OrderResult.ACCEPTED;
  }

  boolean isLoading(long nowNanos) {
    return nowNanos < readyAtNanos;
  }

  EngineState state(long nowNanos) {
    return new EngineState(
        name,
        current.model(),
        current.version(),
        current.adapters(),
        current.role(),
        isLoading(nowNanos),
        highestFencingNumber,
        nowNanos);
  }
}
