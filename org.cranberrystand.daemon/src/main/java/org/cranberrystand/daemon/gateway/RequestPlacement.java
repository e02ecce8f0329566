package org.cranberrystand.daemon.gateway;

import java.util.function.Consumer;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;

/**
 * The decisions about where one request goes, of which only the last one counts.
 *
 * <p>Some are carried out after a wait, in which the request may have ended, or may have been sent
 * or queued elsewhere by a later decision. Used only on the event loop.
 */
final class RequestPlacement {
  private final CallDispatcher dispatcher;
  private final long key;
  private long decisionCount;

  /**
   * Creates the placement of a request that is not queued.
   *
   * @param dispatcher places the request
   * @param key the key of the request at the dispatcher
   */
  RequestPlacement(CallDispatcher dispatcher, long key) {
    this.dispatcher = dispatcher;
    this.key = key;
  }

  long key() {
    return key;
  }

  /** Records that the request was sent or has ended; earlier decisions do not count any more. */
  void decided() {
    decisionCount++;
  }

  /** Has the dispatcher place the request, which certainly has not run. */
  void submit(CallSpec call, String excludedUpstream) {
    decided();
    dispatcher.submit(call, excludedUpstream, System.nanoTime());
  }

  /** Has the dispatcher place the request, which may have run. */
  void resubmit(CallSpec call, String excludedUpstream) {
    decided();
    dispatcher.resubmit(call, excludedUpstream, System.nanoTime());
  }

  /** Records the end of an attempt, or removes the request from the queue of the dispatcher. */
  void attemptEnded(CallEnding ending) {
    dispatcher.ended(key, ending, System.nanoTime());
  }

  /**
   * Returns an action that does nothing if another decision was made meanwhile.
   *
   * @param action what to do after a wait
   */
  Runnable ifStillCurrent(Runnable action) {
    long decision = decisionCount;
    return () -> {
      if (decision == decisionCount) {
        action.run();
      }
    };
  }

  /**
   * Returns an action that does nothing if another decision was made meanwhile.
   *
   * @param action what to do with a result that is waited for
   */
  <T> Consumer<T> ifStillCurrent(Consumer<T> action) {
    long decision = decisionCount;
    return result -> {
      if (decision == decisionCount) {
        action.accept(result);
      }
    };
  }
}
