package org.cranberrystand.daemon.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;

/**
 * One request between its arrival and its outcome.
 *
 * <p>The phase decides between a cancellation and a dispatch that happen at the same time. Safe for
 * use by several threads.
 */
final class RunningRequest {

  /** Progress of a request. */
  enum Phase {
    /** Not sent to an upstream. */
    QUEUED,
    /** Sent, or about to be. */
    SENT,
    /** Has an outcome. */
    ENDED
  }

  private final IncomingRequest request;
  private final Consumer<Outcome> recorder;
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.QUEUED);
  private final AtomicInteger callers = new AtomicInteger(1);
  private final CompletableFuture<Reply> reply = new CompletableFuture<>();
  private final AtomicReference<CompletableFuture<Boolean>> cancellation = new AtomicReference<>();
  private volatile RunningStream stream;
  private volatile long key;
  private volatile boolean possiblyRun;

  RunningRequest(IncomingRequest request, long key, Consumer<Outcome> recorder) {
    this.request = request;
    this.key = key;
    this.recorder = recorder;
  }

  IncomingRequest request() {
    return request;
  }

  long key() {
    return key;
  }

  CompletableFuture<Reply> reply() {
    return reply;
  }

  RunningStream stream() {
    return stream;
  }

  /** Allows the dispatch, unless the request was cancelled. */
  boolean markSent() {
    return phase.compareAndSet(Phase.QUEUED, Phase.SENT);
  }

  /** Returns to the queue after an upstream did not run the request. */
  void markRefused() {
    phase.compareAndSet(Phase.SENT, Phase.QUEUED);
  }

  /** Returns to the queue under a new key after a call that may have run. */
  void markRepeated(long newKey) {
    key = newKey;
    possiblyRun = true;
    phase.compareAndSet(Phase.SENT, Phase.QUEUED);
  }

  /** Cancels the request if it is not being run. */
  boolean cancelQueued() {
    if (!phase.compareAndSet(Phase.QUEUED, Phase.ENDED)) {
      return false;
    }
    Outcome outcome =
        possiblyRun
            ? new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST)
            : new Outcome.NotRun(NotRunReason.CANCELLED, 0);
    recorder.accept(outcome);
    reply.complete(new Reply.Whole(outcome, null, null));
    return true;
  }

  /** Starts to answer with a stream. */
  void startStream(RunningStream value, Reply.Streamed head) {
    stream = value;
    reply.complete(head);
  }

  /** Records the outcome and tells it to the caller unless the answer is being streamed. */
  void end(Outcome outcome, String upstream) {
    if (phase.getAndSet(Phase.ENDED) != Phase.ENDED) {
      recorder.accept(outcome);
      reply.complete(new Reply.Whole(outcome, upstream, null));
    }
  }

  /**
   * Offers to cancel the stream.
   *
   * @param result completes with whether it was cancelled
   * @return the result of an earlier cancellation that runs or succeeded; null if there is none
   */
  CompletableFuture<Boolean> shareCancellation(CompletableFuture<Boolean> result) {
    CompletableFuture<Boolean> current =
        cancellation.accumulateAndGet(
            result, (earlier, offered) -> isFailed(earlier) ? offered : earlier);
    return current == result ? null : current;
  }

  private static boolean isFailed(CompletableFuture<Boolean> earlier) {
    return earlier == null || Boolean.FALSE.equals(earlier.getNow(true));
  }

  void addCaller() {
    callers.incrementAndGet();
  }

  /** Returns whether the last caller left. */
  boolean removeCaller() {
    return callers.decrementAndGet() == 0 && phase.get() != Phase.ENDED;
  }
}
