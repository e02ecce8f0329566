package org.cranberrystand.fake;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Faults that happen to the next calls, in order. Safe for use by several threads. */
final class FaultQueue<T> {
  private final T none;
  private final Queue<T> planned = new ConcurrentLinkedQueue<>();

  FaultQueue(T none) {
    this.none = none;
  }

  void add(T fault, int times) {
    for (int i = 0; i < times; i++) {
      planned.add(fault);
    }
  }

  void clear() {
    planned.clear();
  }

  T next() {
    T fault = planned.poll();
    return fault == null ? none : fault;
  }
}
