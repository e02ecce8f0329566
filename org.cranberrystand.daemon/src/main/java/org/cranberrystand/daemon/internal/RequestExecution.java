package org.cranberrystand.daemon.internal;

import java.util.function.Consumer;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClientReadTimeoutException;

/**
 * Submits one request to the scheduler and executes its decisions.
 *
 * <p>Confined to the execution of the request.
 */
final class RequestExecution {
  private static final long NOT_READY_RETRY_AFTER_MILLIS = 1_000;

  private final RequestRunner runner;
  private final SchedulerLoop scheduler;
  private final RunningRequest running;
  private final boolean handedOver;
  private final Consumer<String> onResumeReference;
  private final ExecController exec;
  private DecisionSlot slot = new DecisionSlot();
  private WorkItem item;
  private int brokenCalls;

  RequestExecution(
      RequestRunner runner,
      SchedulerLoop scheduler,
      RunningRequest running,
      boolean handedOver,
      Consumer<String> onResumeReference,
      ExecController exec) {
    this.runner = runner;
    this.scheduler = scheduler;
    this.running = running;
    this.handedOver = handedOver;
    this.onResumeReference = onResumeReference;
    this.exec = exec;
  }

  /** Submits the request to the scheduler. */
  void submit() {
    long now = runner.clockNanos();
    item = runner.createWorkItem(running.request(), running.key(), handedOver, now);
    submitItem(now);
  }

  private void submitItem(long now) {
    slot.await(() -> scheduler.submit(item, now, slot::offer, this::onCancelled))
        .then(this::execute);
  }

  // Called on any thread. Does not notify the scheduler, which decided the cancellation and would
  // return the same action again.
  private void onCancelled() {
    exec.fork()
        .start(execution -> runner.runningRequests().cancelAtEngine(running).then(done -> {}));
  }

  private void execute(Decision decision) {
    if (decision instanceof Decision.Dispatch && !runner.state().readiness().mayDispatch()) {
      scheduler.end(item.key(), new SchedulerEvent.CallerGone(item.key(), runner.clockNanos()));
      Outcome notReady = new Outcome.NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS);
      running.end(brokenCalls > 0 ? connectionLost() : notReady, null);
    } else if (decision instanceof Decision.Dispatch send) {
      send(send.upstream());
    } else if (decision instanceof Decision.Reject decline) {
      running.end(toOutcome(decline), null);
    } else if (decision instanceof Decision.HandOver delegate && running.markSent()) {
      runner.peerRequests().handOver(running, delegate.node(), onResumeReference);
    }
  }

  private Outcome toOutcome(Decision.Reject decline) {
    return brokenCalls > 0
        ? connectionLost()
        : new Outcome.NotRun(decline.reason(), decline.retryAfterMillis());
  }

  private static Outcome connectionLost() {
    return new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST);
  }

  private void send(UpstreamRecord upstream) {
    if (!running.markSent()) {
      reportFinished(false);
    } else if (running.request().poolType().isStreaming()) {
      new ModelCall(runner, this, upstream).send();
    } else {
      new ServiceCall(runner, this, upstream).send();
    }
  }

  RunningRequest running() {
    return running;
  }

  IncomingRequest request() {
    return running.request();
  }

  Consumer<String> onResumeReference() {
    return onResumeReference;
  }

  long remainingMillis() {
    return (item.deadlineNanos() - runner.clockNanos()) / 1_000_000;
  }

  /** Reports to the scheduler that the upstream runs the request. */
  void reportStarted() {
    scheduler.feed(new SchedulerEvent.Started(item.key(), runner.clockNanos()));
  }

  /** Reports to the scheduler how many tokens arrived. */
  void reportTokens(int tokens) {
    scheduler.feed(new SchedulerEvent.TokensProduced(item.key(), tokens, runner.clockNanos()));
  }

  /** Reports to the scheduler that the upstream finished the request. */
  void reportFinished(boolean succeeded) {
    scheduler.end(
        item.key(), new SchedulerEvent.Finished(item.key(), succeeded, runner.clockNanos()));
  }

  /** Reports a broken connection, a possible crash of the upstream, to the scheduler. */
  void reportConnectionBroken() {
    scheduler.end(item.key(), new SchedulerEvent.ConnectionBroken(item.key(), runner.clockNanos()));
  }

  /** Ends the request with an outcome from an upstream. */
  void end(Outcome outcome, UpstreamRecord upstream) {
    running.end(outcome, upstream.name());
  }

  /**
   * Requests another decision of the scheduler after the upstream did not run the request.
   *
   * @param connected true if the upstream refused the request; false if it could not be reached
   * @param retryAfterMillis the delay that the upstream asked for, or 0
   */
  void handleRefusal(boolean connected, long retryAfterMillis) {
    running.markRefused();
    slot.await(
            () ->
                scheduler.feed(
                    new SchedulerEvent.Refused(
                        item.key(), connected, retryAfterMillis, runner.clockNanos())))
        .then(this::execute);
  }

  /**
   * Ends a request whose call failed after the upstream may have run it.
   *
   * @param upstream the upstream
   * @param cause the failure
   */
  void handleBrokenCall(UpstreamRecord upstream, Throwable cause) {
    runner.log().write(LogEvent.UPSTREAM_BROKEN, "upstream=" + upstream.name() + " " + cause);
    reportFailure(cause);
    end(new Outcome.OutcomeUnknown(unknownCause(cause)), upstream);
  }

  /** Returns whether a broken call may be sent again. */
  boolean mayRetry() {
    return running.request().kind().isRepeatable()
        && brokenCalls < running.request().kind().maxRetries()
        && remainingMillis() > 0;
  }

  // A timeout does not count as a crash: a slow upstream must not get the content quarantined.
  private void reportFailure(Throwable cause) {
    if (cause instanceof HttpClientReadTimeoutException) {
      reportFinished(false);
    } else {
      reportConnectionBroken();
    }
  }

  /**
   * Submits a repeatable request again after a broken call, as a new work item.
   *
   * @param cause the failure
   */
  void retry(Throwable cause) {
    reportFailure(cause);
    brokenCalls++;
    long newKey = scheduler.nextKey();
    running.markResubmitted(newKey);
    long now = runner.clockNanos();
    long deadlineNanos = item.deadlineNanos();
    item =
        WorkItem.builder(newKey, item.kind())
            .shop(item.shop(), item.team())
            .contentDigest(item.contentDigest())
            .handedOver(true)
            .times(now, deadlineNanos)
            .build();
    slot = new DecisionSlot();
    submitItem(now);
  }

  private static UnknownCause unknownCause(Throwable cause) {
    return cause instanceof HttpClientReadTimeoutException
        ? UnknownCause.UPSTREAM_TIMEOUT
        : UnknownCause.CONNECTION_LOST;
  }
}
