package org.cranberrystand.fake;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Faults to inject into the next calls, in order. Safe for use by several threads. */
final class FaultQueue<T> {
  private final T noFault;
  private final Queue<T> pending = new ConcurrentLinkedQueue<>();

  FaultQueue(T noFault) {
    this.noFault = noFault;
  }

  void add(T fault, int times) {
    for (int i = 0; i < times; i++) {
      pending.add(fault);
    }
  }

  void clear() {
    pending.clear();
  }

  /** Removes and returns the next fault, or the value for no fault if the queue is empty. */
  T next() {
    T fault = pending.poll();
    return fault == null ? noFault : fault;
  }
}
