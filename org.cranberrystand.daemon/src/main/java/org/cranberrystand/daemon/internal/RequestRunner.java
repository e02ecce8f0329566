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
 * Runs claimed requests: submits them to the scheduler and has them sent where it decides.
 *
 * <p>Each request runs in an execution of its own, so that it ends regularly when its caller
 * disconnects. Safe for use by several threads.
 */
public final class RequestRunner implements AutoCloseable {
  private static final int CHARS_PER_TOKEN = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final UpstreamHttpClient engines;
  private final PeerRequests peers;
  private final RunningRequests running;
  private final ResumeReferenceCodec resumeCodec;
  private final StreamCounters counters = new StreamCounters();

  /**
   * Creates a runner.
   *
   * @param state the state of the node
   * @param scheduler decides where requests go
   * @param peerClient calls other nodes
   * @param log receives failures of upstreams
   * @throws Exception if the client cannot be created
   */
  public RequestRunner(
      NodeState state, SchedulerLoop scheduler, PeerClient peerClient, EventLog log)
      throws Exception {
    this.state = state;
    this.scheduler = scheduler;
    this.log = log;
    this.engines =
        new UpstreamHttpClient(
            Duration.ofMillis(state.settings().limits().upstreamTimeoutMillis()));
    this.running = new RunningRequests(scheduler, engines, state.clock());
    this.resumeCodec = new ResumeReferenceCodec(state.fleetKeys().keysFor(FleetKeys.Use.RESUME));
    this.peers = new PeerRequests(this, peerClient);
  }

  @Override
  public void close() {
    engines.close();
  }

  /**
   * Returns the counters of relayed streams.
   *
   * @return the counters, which change
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

  UpstreamHttpClient engines() {
    return engines;
  }

  PeerRequests peers() {
    return peers;
  }

  RunningRequests running() {
    return running;
  }

  ResumeReferenceCodec resumeCodec() {
    return resumeCodec;
  }

  /**
   * Starts to run a request that this node may dispatch.
   *
   * @param request the request
   * @param handedOver whether another node handed it over
   * @param recorder receives the outcome, once
   * @param onResumeReference receives the resume reference when there is one
   * @return the running request
   */
  RunningRequest start(
      IncomingRequest request,
      boolean handedOver,
      Consumer<Outcome> recorder,
      Consumer<String> onResumeReference) {
    RunningRequest run = new RunningRequest(request, scheduler.nextKey(), recorder);
    running.add(run);
    state.recentKeys().put(request.id(), run.key());
    ExecController exec = ExecController.require();
    EventLoop loop = Execution.current().getEventLoop();
    exec.fork()
        .eventLoop(loop)
        .onError(
            cause -> {
              log.write(LogEvent.TASK_FAILED, "task=request", cause);
              scheduler.end(run.key(), new SchedulerEvent.Finished(run.key(), false, clockNanos()));
              abandon(run);
            })
        .start(
            execution ->
                new RequestExecution(this, scheduler, run, handedOver, onResumeReference, exec)
                    .submit());
    return run;
  }

  private void abandon(RunningRequest run) {
    running.remove(run);
    Outcome outcome = new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST);
    run.end(outcome, null);
    if (run.stream() != null) {
      run.stream().relay().fail(ProblemDocument.of(outcome, true, run.request().idText()));
    }
  }

  WorkItem workItem(IncomingRequest request, long key, boolean handedOver, long now) {
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
   * Tells whether a response means that the upstream did not run the request.
   *
   * @param upstream the upstream
   * @param response its response
   * @return true if the request may be dispatched elsewhere
   */
  boolean isRefusal(UpstreamRecord upstream, StreamedResponse response) {
    int status = response.getStatusCode();
    boolean declared = "true".equalsIgnoreCase(response.getHeaders().get(ApiHeaders.NOT_RUN));
    Optional<UpstreamPool> pool =
        state.bundles().current().map(bundle -> bundle.pools().get(upstream.pool()));
    boolean refused =
        (declared && (status == 429 || status == 503))
            || pool.map(p -> p.refusalStatuses().contains(status)).orElse(false);
    // Status 429 says that the upstream is full; only 503 says that it stops taking work.
    if (refused && status == 503 && declared) {
      state.leaveSignals().recordRefusal(upstream.name());
    }
    return refused;
  }

  Optional<String> resumeReference(UpstreamRecord upstream, String streamId, IncomingRequest req) {
    return streamId == null
        ? Optional.empty()
        : resumeCodec.encode(
            new ResumeReference(upstream.name(), streamId, req.idText(), req.shop().name()));
  }

  /**
   * Creates a relay that resumes at an engine.
   *
   * @param retention what happens to the answer
   * @param reference where the stream is; empty if it cannot be resumed
   * @param sequence checks the events
   * @param onEvents called with the number of events in each chunk
   * @return the relay, for the event loop of the current execution
   */
  StreamRelay relay(
      StreamRelay.Retention retention,
      Optional<ResumeReference> reference,
      EventSequence sequence,
      java.util.function.IntConsumer onEvents) {
    StreamRelay.Resumer resumer =
        from ->
            reference
                .map(r -> openStream(r, from))
                .orElseGet(() -> Promise.error(new java.io.IOException("no resume reference")));
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
   * Reads a stream at its engine without dispatching anything.
   *
   * @param reference the stream
   * @param from the first event
   * @return the response
   */
  Promise<StreamedResponse> openStream(ResumeReference reference, long from) {
    return state
        .directory()
        .get()
        .find(reference.upstream())
        .map(upstream -> engines.resume(upstream.address(), reference.streamId(), from))
        .orElseGet(() -> Promise.error(new java.net.ConnectException("upstream not listed")));
  }

  long clockNanos() {
    return state.clock().nowNanos();
  }
}
