package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicReference;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;

/**
 * Passes the decisions about one request from the scheduler to the execution that serves it.
 *
 * <p>Safe for use by several threads.
 */
final class DecisionSlot {
  private final AtomicReference<Downstream<? super Decision>> receiver = new AtomicReference<>();

  /**
   * Waits for the next decision.
   *
   * @param trigger causes the decision; runs after the receiver is set, so that no decision is lost
   * @return the decision
   */
  Promise<Decision> await(Runnable trigger) {
    return Promise.async(
        downstream -> {
          receiver.set(downstream);
          trigger.run();
        });
  }

  /** Passes a decision to the waiting receiver; ignored if none waits. */
  void offer(Decision decision) {
    Downstream<? super Decision> downstream = receiver.getAndSet(null);
    if (downstream != null) {
      downstream.success(decision);
    }
  }
}
