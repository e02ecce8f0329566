package org.cranberrystand.daemon.internal;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.ResumeReference;
import org.cranberrystand.identity.ResumeReferenceCodec;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.CompletionRequest;
import org.cranberrystand.wire.http.PrefixBlocks;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.security.FleetKeys;
import ratpack.exec.ExecController;
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.http.client.StreamedResponse;

/**
 * Runs claimed requests: submits them to the scheduler and executes its decisions.
 *
 * <p>Each request runs in its own Ratpack execution, so that it runs to its regular end even if its
 * caller disconnects. Safe for use by several threads.
 */
public final class RequestRunner implements AutoCloseable {
  private static final int CHARS_PER_TOKEN = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final UpstreamHttpClient engineClient;
  private final PeerRequests peerRequests;
  private final RunningRequests runningRequests;
  private final ResumeReferenceCodec resumeCodec;
  private final StreamCounters counters = new StreamCounters();

  /**
   * Creates a runner.
   *
   * @param state the state of the node
   * @param scheduler decides about dispatches
   * @param peerClient calls other nodes
   * @param log receives failures of upstreams and tasks
   * @throws Exception if the client cannot be created
   */
  public RequestRunner(
      NodeState state, SchedulerLoop scheduler, PeerClient peerClient, EventLog log)
      throws Exception {
    this.state = state;
    this.scheduler = scheduler;
    this.log = log;
    this.engineClient =
        new UpstreamHttpClient(
            Duration.ofMillis(state.settings().limits().upstreamTimeoutMillis()));
    this.runningRequests = new RunningRequests(scheduler, engineClient, state.clock());
    this.resumeCodec = new ResumeReferenceCodec(state.fleetKeys().keysFor(FleetKeys.Use.RESUME));
    this.peerRequests = new PeerRequests(this, peerClient);
  }

  @Override
  public void close() {
    engineClient.close();
  }

  /**
   * Returns the counters of relayed streams.
   *
   * @return the live counters
   */
  public StreamCounters counters() {
    return counters;
  }

  NodeState state() {
    return state;
  }

  EventLog log() {
    return log;
  }

  UpstreamHttpClient engineClient() {
    return engineClient;
  }

  PeerRequests peerRequests() {
    return peerRequests;
  }

  RunningRequests runningRequests() {
    return runningRequests;
  }

  ResumeReferenceCodec resumeCodec() {
    return resumeCodec;
  }

  /**
   * Starts to run a request; this node must have the right to dispatch it.
   *
   * @param request the request
   * @param handedOver whether another node handed the request over
   * @param recorder receives the outcome exactly once
   * @param onResumeReference receives the resume reference if there is one
   * @return the running request
   */
  RunningRequest start(
      IncomingRequest request,
      boolean handedOver,
      Consumer<Outcome> recorder,
      Consumer<String> onResumeReference) {
    RunningRequest running = new RunningRequest(request, scheduler.nextKey(), recorder);
    runningRequests.add(running);
    state.schedulerKeys().put(request.id(), running.key());
    ExecController exec = ExecController.require();
    EventLoop loop = Execution.current().getEventLoop();
    exec.fork()
        .eventLoop(loop)
        .onError(
            cause -> {
              log.write(LogEvent.TASK_FAILED, "task=request", cause);
              scheduler.end(
                  running.key(), new SchedulerEvent.Finished(running.key(), false, clockNanos()));
              failRequest(running);
            })
        .start(
            execution ->
                new RequestExecution(this, scheduler, running, handedOver, onResumeReference, exec)
                    .submit());
    return running;
  }

  private void failRequest(RunningRequest running) {
    runningRequests.remove(running);
    Outcome outcome = new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST);
    running.end(outcome, null);
    if (running.stream() != null) {
      running.stream().relay().fail(ProblemDocument.of(outcome, true, running.request().idText()));
    }
  }

  WorkItem createWorkItem(IncomingRequest request, long key, boolean handedOver, long now) {
    WorkItem.Builder item =
        WorkItem.builder(key, request.kind())
            .shop(request.shop().name(), request.shop().team())
            .contentDigest(request.contentDigest())
            .handedOver(handedOver)
            .times(now, now + request.deadlineMillis() * NANOS_PER_MILLI);
    CompletionRequest completion = request.completion();
    if (completion != null) {
      item.tokens(completion.prompt().length() / CHARS_PER_TOKEN + 1, completion.maxTokens());
      item.prefixBlocks(PrefixBlocks.hashesOf(completion.prompt()));
    }
    return item.build();
  }

  /**
   * Returns whether a response means that the upstream did not run the request.
   *
   * @param upstream the upstream
   * @param response the response of the upstream
   * @return true if the request may be dispatched to another upstream
   */
  boolean isRefusal(UpstreamRecord upstream, StreamedResponse response) {
    int status = response.getStatusCode();
    boolean declaredNotRun = "true".equalsIgnoreCase(response.getHeaders().get(ApiHeaders.NOT_RUN));
    Optional<UpstreamPool> pool =
        state.bundles().current().map(bundle -> bundle.pools().get(upstream.pool()));
    boolean refused =
        (declaredNotRun && (status == 429 || status == 503))
            || pool.map(p -> p.refusalStatuses().contains(status)).orElse(false);
    // Status 429 means that the upstream is full; only 503 means that it is shutting down.
    if (refused && status == 503 && declaredNotRun) {
      state.leaveSignals().recordRefusal(upstream.name());
    }
    return refused;
  }

  Optional<String> resumeReference(
      UpstreamRecord upstream, String streamId, IncomingRequest request) {
    return streamId == null
        ? Optional.empty()
        : resumeCodec.encode(
            new ResumeReference(
                upstream.name(), streamId, request.idText(), request.shop().name()));
  }

  /**
   * Creates a relay that resumes a broken stream at its engine. Must be called within an execution,
   * whose event loop the relay uses.
   *
   * @param retention whether the answer is recorded
   * @param reference identifies the stream; empty if it cannot be resumed
   * @param sequence validates the events
   * @param onEvents called with the number of events in each chunk
   * @return the relay
   */
  StreamRelay createRelay(
      StreamRelay.Retention retention,
      Optional<ResumeReference> reference,
      EventSequence sequence,
      java.util.function.IntConsumer onEvents) {
    StreamRelay.Resumer resumer =
        from ->
            reference
                .map(r -> openStream(r, from))
                .orElseGet(
                    () ->
                        Promise.error(
                            new java.io.IOException("the stream has no resume reference")));
    return new StreamRelay(
        Execution.current().getEventLoop(),
        retention,
        sequence,
        from -> {
          counters.addResumed();
          return resumer.open(from);
        },
        onEvents,
        dropped -> {
          counters.addDropped(dropped);
          log.write(LogEvent.STREAM_MISMATCH, "dropped=" + dropped);
        });
  }

  /**
   * Opens a stream at its engine without a dispatch.
   *
   * @param reference identifies the stream
   * @param from the number of the first event
   * @return the response
   */
  Promise<StreamedResponse> openStream(ResumeReference reference, long from) {
    return state
        .directory()
        .get()
        .find(reference.upstream())
        .map(upstream -> engineClient.resume(upstream.address(), reference.streamId(), from))
        .orElseGet(
            () ->
                Promise.error(
                    new java.net.ConnectException(
                        "upstream " + reference.upstream() + " is not in the VM list")));
  }

  long clockNanos() {
    return state.clock().nowNanos();
  }
}
