package org.cranberrystand.daemon.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;

/**
 * A request between its arrival and its outcome.
 *
 * <p>Atomic changes of the phase decide races between a cancellation and a dispatch. Safe for use
 * by several threads.
 */
final class RunningRequest {

  /** Progress of a request. */
  enum Phase {
    /** Waits for a dispatch. */
    QUEUED,
    /** Sent to an upstream or another node, or about to be. */
    SENT,
    /** Has its outcome. */
    ENDED
  }

  private final IncomingRequest request;
  private final Consumer<Outcome> recorder;
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.QUEUED);
  private final AtomicInteger callerCount = new AtomicInteger(1);
  private final CompletableFuture<Reply> reply = new CompletableFuture<>();
  private final AtomicReference<CompletableFuture<Boolean>> cancellation = new AtomicReference<>();
  private volatile RunningStream stream;
  private volatile long key;
  private volatile boolean mayHaveRun;

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

  /** Enters the phase SENT; returns false if the request was cancelled before. */
  boolean markSent() {
    return phase.compareAndSet(Phase.QUEUED, Phase.SENT);
  }

  /** Returns to the phase QUEUED after an upstream did not run the request. */
  void markRefused() {
    phase.compareAndSet(Phase.SENT, Phase.QUEUED);
  }

  /** Returns to the phase QUEUED under a new key after a call that the upstream may have run. */
  void markResubmitted(long newKey) {
    key = newKey;
    mayHaveRun = true;
    phase.compareAndSet(Phase.SENT, Phase.QUEUED);
  }

  /** Cancels the request if it is queued; returns whether it was. */
  boolean cancelQueued() {
    if (!phase.compareAndSet(Phase.QUEUED, Phase.ENDED)) {
      return false;
    }
    Outcome outcome =
        mayHaveRun
            ? new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST)
            : new Outcome.NotRun(NotRunReason.CANCELLED, 0);
    recorder.accept(outcome);
    reply.complete(new Reply.Buffered(outcome, null, null));
    return true;
  }

  /** Starts to reply with a stream. */
  void startStream(RunningStream value, Reply.Streamed head) {
    stream = value;
    reply.complete(head);
  }

  /** Records the outcome and replies with it, unless a stream has been started as the reply. */
  void end(Outcome outcome, String upstream) {
    if (phase.getAndSet(Phase.ENDED) != Phase.ENDED) {
      recorder.accept(outcome);
      reply.complete(new Reply.Buffered(outcome, upstream, null));
    }
  }

  /**
   * Registers a cancellation of the stream, unless another one is pending or succeeded.
   *
   * @param result completes with whether the stream was cancelled
   * @return the result of the other cancellation; null if the given one was registered
   */
  CompletableFuture<Boolean> registerCancellation(CompletableFuture<Boolean> result) {
    CompletableFuture<Boolean> current =
        cancellation.accumulateAndGet(
            result, (earlier, registered) -> isFailed(earlier) ? registered : earlier);
    return current == result ? null : current;
  }

  private static boolean isFailed(CompletableFuture<Boolean> earlier) {
    return earlier == null || Boolean.FALSE.equals(earlier.getNow(true));
  }

  void addCaller() {
    callerCount.incrementAndGet();
  }

  /** Removes a caller; returns true if it was the last one and the request has not ended. */
  boolean removeCaller() {
    return callerCount.decrementAndGet() == 0 && phase.get() != Phase.ENDED;
  }
}
