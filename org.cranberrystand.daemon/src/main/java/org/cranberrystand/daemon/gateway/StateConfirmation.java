package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Has the store confirm that the published state of this node includes every change up to a moment.
 *
 * <p>A call of the store confirms only the moments before it was sent. Those that come while one is
 * in progress share the next one. Used only on the event loop.
 */
final class StateConfirmation {
  /** A store that is slow answers within a few hundred milliseconds. */
  private static final long TIMEOUT_MILLIS = 600;

  private static final long MIN_INTERVAL_MILLIS = 100;

  /** How many such calls all nodes together make at most, so that other calls are not refused. */
  private static final int CALLS_PER_SECOND = 1_000;

  /** Reads the changes that this node lacks. */
  interface Source {
    /** Returns whether the store has answered the last call, as far as is known. */
    boolean isStoreAvailable();

    /**
     * Reads and applies the changes that this node has missed.
     *
     * @param receiver receives whether all changes up to the call are applied
     */
    void readMissed(Consumer<Boolean> receiver);
  }

  private final EventLoop loop;
  private final Source source;
  private final IntSupplier nodeCount;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private List<Consumer<Boolean>> carried = new ArrayList<>();
  private boolean callScheduled;
  private boolean callInProgress;
  private boolean repeatable;
  private int callNumber;
  private long callNanos = System.nanoTime() - TimeUnit.HOURS.toNanos(1);

  /**
   * Creates a confirmation.
   *
   * @param nodeCount returns the number of nodes that may call the store
   */
  StateConfirmation(EventLoop loop, Source source, IntSupplier nodeCount) {
    this.loop = loop;
    this.source = source;
    this.nodeCount = nodeCount;
  }

  /**
   * Has the state confirmed up to now.
   *
   * @param receiver receives whether the store confirmed it in time, at once or later
   */
  void confirm(Consumer<Boolean> receiver) {
    waiting.add(receiver);
    loop.schedule(() -> giveUp(receiver), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).isDone();
    callIfDue();
  }

  private void giveUp(Consumer<Boolean> receiver) {
    if (waiting.remove(receiver) || carried.remove(receiver)) {
      receiver.accept(false);
    }
  }

  private void callIfDue() {
    if (callInProgress || callScheduled || waiting.isEmpty()) {
      return;
    }
    long delayNanos = callNanos + intervalNanos() - System.nanoTime();
    if (delayNanos <= 0) {
      call();
      return;
    }
    callScheduled = true;
    Runnable callNow =
        () -> {
          callScheduled = false;
          call();
        };
    loop.schedule(callNow, delayNanos, TimeUnit.NANOSECONDS).isDone();
  }

  private long intervalNanos() {
    return Math.max(
        TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MILLIS),
        nodeCount.getAsInt() * TimeUnit.SECONDS.toNanos(1) / CALLS_PER_SECOND);
  }

  private void call() {
    carried = waiting;
    waiting = new ArrayList<>();
    // A store that was lost may be back, but a call that fails then is not worth repeating.
    repeatable = source.isStoreAvailable();
    int number = ++callNumber;
    callInProgress = true;
    callNanos = System.nanoTime();
    source.readMissed(isConfirmed -> callEnded(number, isConfirmed));
    loop.schedule(() -> callEnded(number, false), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).isDone();
  }

  private void callEnded(int number, boolean isConfirmed) {
    if (!callInProgress || number != callNumber) {
      return;
    }
    callInProgress = false;
    if (isConfirmed || !repeatable) {
      answerCarried(isConfirmed);
    } else {
      // One failed call does not show that the store is lost.
      waiting.addAll(carried);
      carried = new ArrayList<>();
    }
    callIfDue();
  }

  private void answerCarried(boolean isConfirmed) {
    List<Consumer<Boolean>> receivers = carried;
    carried = new ArrayList<>();
    receivers.forEach(receiver -> receiver.accept(isConfirmed));
  }
}
