package org.cranberrystand.order;

import com.google.common.collect.ImmutableSortedSet;
import org.cranberrystand.bundle.EngineRole;

/** In-memory engine that serves the ordered model after a fixed load time. */
final class FakeOrderedEngine {
  private final String name;
  private final boolean checksFencing;
  private final long loadNanos;
  private EngineTarget currentTarget;
  private long readyAtNanos = Long.MIN_VALUE;
  private long highestFencingNumber;

  FakeOrderedEngine(String name, boolean checksFencing, long loadNanos, String version) {
    this.name = name;
    this.checksFencing = checksFencing;
    this.loadNanos = loadNanos;
    this.currentTarget =
        new EngineTarget("assistant", version, ImmutableSortedSet.of(), EngineRole.MIXED);
  }

  OrderResult receive(EngineOrder order, long nowNanos) {
    if (checksFencing && order.fencingNumber() <= highestFencingNumber) {
      return OrderResult.FENCED;
    }
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
    if (!order.target().equals(currentTarget)) {
      currentTarget = order.target();
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
        currentTarget.model(),
        currentTarget.version(),
        currentTarget.adapters(),
        currentTarget.role(),
        isLoading(nowNanos),
        highestFencingNumber,
        nowNanos);
  }
}
