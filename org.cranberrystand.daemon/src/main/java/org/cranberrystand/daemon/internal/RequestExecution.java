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
 * Carries out the decisions of the scheduler about one request.
 *
 * <p>Confined to the execution of the request.
 */
final class RequestExecution {
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  private final RequestRunner runner;
  private final SchedulerLoop scheduler;
  private final RunningRequest running;
  private final boolean handedOver;
  private final Consumer<String> onResumeReference;
  private final ExecController exec;
  private DecisionSlot slot = new DecisionSlot();
  private WorkItem item;
  private int brokenAttempts;

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
    item = runner.workItem(running.request(), running.key(), handedOver, now);
    submitItem(now);
  }

  private void submitItem(long now) {
    slot.await(() -> scheduler.submit(item, now, slot::offer, this::cancelled))
        .then(this::carryOut);
  }

  // Runs on any thread. The scheduler decided this itself and must not be told again: it would
  // answer with the same action.
  private void cancelled() {
    exec.fork().start(execution -> runner.running().cancelAtEngine(running).then(done -> {}));
  }

  private void carryOut(Decision decision) {
    if (decision instanceof Decision.Dispatch && !runner.state().readiness().mayDispatch()) {
      scheduler.end(item.key(), new SchedulerEvent.CallerGone(item.key(), runner.clockNanos()));
      Outcome notReady = new Outcome.NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_MILLIS);
      running.end(brokenAttempts > 0 ? connectionLost() : notReady, null);
    } else if (decision instanceof Decision.Dispatch send) {
      send(send.upstream());
    } else if (decision instanceof Decision.Reject decline) {
      running.end(declined(decline), null);
    } else if (decision instanceof Decision.HandOver delegate && running.markSent()) {
      runner.peers().handOver(running, delegate.node(), onResumeReference);
    }
  }

  private Outcome declined(Decision.Reject decline) {
    return brokenAttempts > 0
        ? connectionLost()
        : new Outcome.NotRun(decline.reason(), decline.retryAfterMillis());
  }

  private static Outcome connectionLost() {
    return new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST);
  }

  private void send(UpstreamRecord upstream) {
    if (!running.markSent()) {
      finished(false);
    } else if (running.request().poolType().isStreaming()) {
      new ModelCall(runner, this, upstream).send();
    } else {
      new PlainCall(runner, this, upstream).send();
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

  void started() {
    scheduler.feed(new SchedulerEvent.Started(item.key(), runner.clockNanos()));
  }

  void produced(int tokens) {
    scheduler.feed(new SchedulerEvent.TokensProduced(item.key(), tokens, runner.clockNanos()));
  }

  /** Reports the end of the work at the upstream to the scheduler. */
  void finished(boolean succeeded) {
    scheduler.end(
        item.key(), new SchedulerEvent.Finished(item.key(), succeeded, runner.clockNanos()));
  }

  /** Reports a broken connection, which may be the crash of the upstream, to the scheduler. */
  void connectionBroken() {
    scheduler.end(item.key(), new SchedulerEvent.ConnectionBroken(item.key(), runner.clockNanos()));
  }

  /** Ends the request with an outcome. */
  void end(Outcome outcome, UpstreamRecord upstream) {
    running.end(outcome, upstream.name());
  }

  /**
   * Asks the scheduler for another decision after the upstream did not run the request.
   *
   * @param connected whether the upstream was reached and refused
   * @param retryAfterMillis the delay that the upstream asked for, or 0
   */
  void refused(boolean connected, long retryAfterMillis) {
    running.markRefused();
    slot.await(
            () ->
                scheduler.feed(
                    new SchedulerEvent.Refused(
                        item.key(), connected, retryAfterMillis, runner.clockNanos())))
        .then(this::carryOut);
  }

  /**
   * Handles a call that broke after the request may have run.
   *
   * @param upstream the upstream
   * @param cause what happened
   */
  void broken(UpstreamRecord upstream, Throwable cause) {
    runner.log().write(LogEvent.UPSTREAM_BROKEN, "upstream=" + upstream.name() + " " + cause);
    reportBroken(cause);
    end(new Outcome.OutcomeUnknown(unknownCause(cause)), upstream);
  }

  /** Whether a broken call may be sent again. */
  boolean mayRepeat() {
    return running.request().kind().isRepeatable()
        && brokenAttempts < running.request().kind().maxRetries()
        && remainingMillis() > 0;
  }

  // Silence is not a crash: content must not be quarantined because an upstream was slow.
  private void reportBroken(Throwable cause) {
    if (cause instanceof HttpClientReadTimeoutException) {
      finished(false);
    } else {
      connectionBroken();
    }
  }

  /**
   * Submits a broken idempotent call again, as a new work item.
   *
   * @param cause what happened
   */
  void repeat(Throwable cause) {
    reportBroken(cause);
    brokenAttempts++;
    long newKey = scheduler.nextKey();
    running.markRepeated(newKey);
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
