package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.LoadSummary;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MemberState;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.SignedBundle;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.exec.util.ParallelBatch;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Membership, bundle distribution, pause detection and leaving of one node.
 *
 * <p>Safe for use by several threads.
 */
public final class ControlPlane implements AutoCloseable {
  private static final long TICK_MILLIS = 250;
  private static final int START_SOURCES = 3;
  private static final Duration START_RETRY = Duration.ofMillis(500);
  private static final Duration REFRESH_RETRY = Duration.ofSeconds(1);
  private static final int REFRESH_PEERS = 3;

  private final NodeState state;
  private final PeerClient client;
  private final BundleIntake intake;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final ExecController exec;
  private final TaskRunner retry;
  private final PlatformWatcher watcher;
  private final BundleDistribution distribution;
  private final MembershipService membership;
  private final AtomicBoolean refreshing = new AtomicBoolean();
  private final List<ScheduledFuture<?>> timers = new ArrayList<>();

  /**
   * Creates the control plane.
   *
   * @param state the state of the node
   * @param addresses the addresses of the listeners
   * @param exec runs the calls
   * @param client calls other nodes
   * @param intake verifies bundles
   * @param scheduler is told of changes
   * @param log receives events
   * @throws Exception if a client cannot be created
   */
  public ControlPlane(
      NodeState state,
      Addresses addresses,
      ExecController exec,
      PeerClient client,
      BundleIntake intake,
      SchedulerLoop scheduler,
      EventLog log)
      throws Exception {
    this.state = state;
    this.client = client;
    this.intake = intake;
    this.scheduler = scheduler;
    this.log = log;
    this.exec = exec;
    this.retry = new TaskRunner(exec, log, new Random(state.incarnation().id()));
    this.distribution = new BundleDistribution(state, client, intake, log, retry);
    MemberRecord self = selfRecord(state, addresses);
    state.self().set(self);
    this.membership =
        new MembershipService(state, self, client, distribution, scheduler, log, retry);
    this.watcher =
        new PlatformWatcher(
            state,
            retry,
            log,
            () -> distribution.isWatcher(state.membership().get()),
            this::published);
    intake.onAccepted(membership::spread);
    state
        .leaveSignals()
        .listen(
            directory ->
                scheduler.feed(
                    new SchedulerEvent.DirectoryChanged(directory, state.clock().nowNanos())),
            membership::spread);
  }

  /**
   * Addresses of the listeners of a node.
   *
   * @param callers the listener for callers
   * @param peers the listener for peers
   */
  public record Addresses(HostAndPort callers, HostAndPort peers) {}

  /** Starts to ask peers and platform; the node serves when it has a bundle. */
  public void start() {
    long phaseMillis = new Random(state.incarnation().id()).nextInt(1_000);
    timers.add(
        exec.getExecutor()
            .scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS));
    long period = MembershipService.periodMillis();
    timers.add(
        exec.getExecutor()
            .scheduleAtFixedRate(
                membership::runPeriod, phaseMillis, period, TimeUnit.MILLISECONDS));
    retry.runPeriodically("start", Duration.ZERO, this::startOnce);
    watcher.start();
  }

  public MembershipService membership() {
    return membership;
  }

  /**
   * Adds the handlers for calls of other nodes.
   *
   * @param chain the chain of the listener for peers
   * @throws Exception never
   */
  public void addEndpoints(Chain chain) throws Exception {
    chain
        .post("peer/v1/digest", this::digest)
        .get("peer/v1/probe/:node", this::probe)
        .get("peer/v1/bundle/head", this::bundleHead)
        .get("peer/v1/bundle/part/:digest", this::bundlePart);
  }

  /** Announces that the node is leaving and stops taking new work. */
  public void startLeaving() {
    if (state.leaving().compareAndSet(false, true)) {
      membership.leave();
      scheduler.feed(new SchedulerEvent.DrainStarted(state.clock().nowNanos()));
    }
  }

  /**
   * Returns the state of the distribution of bundles.
   *
   * @return what this node knows now
   */
  public RolloutState rollout() {
    Bundle bundle = state.bundles().current().orElse(null);
    ImmutableList<RolloutState.MemberBundle> members =
        state.memberLoads().get().stream()
            .map(this::memberBundle)
            .collect(ImmutableList.toImmutableList());
    PlatformWatcher.PublishedBundle published = watcher.published();
    return new RolloutState(
        bundle == null ? 0 : bundle.version(),
        bundle == null ? "" : bundle.digest(),
        published.version(),
        published.digest(),
        watcher.isServiceAvailable(),
        members,
        intake.conflicts());
  }

  private RolloutState.MemberBundle memberBundle(LoadSummary load) {
    MemberRecord record =
        state.membership().get().find(load.node()).orElseGet(() -> state.self().get());
    return new RolloutState.MemberBundle(
        load.node(), record.state().label(), load.bundleVersion(), load.bundleDigest());
  }

  @Override
  public void close() {
    retry.close();
    timers.forEach(timer -> timer.cancel(false));
    watcher.close();
  }

  private static MemberRecord selfRecord(NodeState state, Addresses addresses) {
    return new MemberRecord(
        state.settings().node(),
        state.incarnation().idText(),
        addresses.callers().toString(),
        addresses.peers().toString(),
        state.settings().failureDomain(),
        MemberState.ALIVE,
        MemberRecord.firstSequence(System.currentTimeMillis() / 1_000),
        0,
        0);
  }

  /** Offers what the service publishes, with the parts that it lists. */
  private Promise<Long> published(SignedBundle signed) {
    return distribution
        .obtain("config-service", signed, watcher::readPart)
        .map(result -> intake.versionOf(signed));
  }

  private void tick() {
    boolean paused = state.readiness().pauses().tick();
    if ((paused || !state.readiness().pauses().isViewCurrent())
        && refreshing.compareAndSet(false, true)) {
      log.write(LogEvent.NODE_PAUSED, "");
      retry.runPeriodically("refresh", Duration.ZERO, this::refresh);
    }
  }

  /** Refreshes the view after a pause; repeated until a peer or the platform answered. */
  private Promise<Duration> refresh() {
    long pauses = state.readiness().pauses().pauseCount();
    Promise<Boolean> peers = membership.refresh(REFRESH_PEERS).map(answers -> answers > 0);
    Promise<Boolean> vms = watcher.readVmList().map(pause -> true).mapError(cause -> false);
    Promise<Boolean> head = watcher.readHead().map(any -> true).mapError(cause -> false);
    return ParallelBatch.of(peers, vms, head)
        .yield()
        .flatMap(
            answers -> {
              if (!answers.contains(true)) {
                return Promise.value(REFRESH_RETRY);
              }
              state.readiness().pauses().confirmRefresh(pauses);
              refreshing.set(false);
              return Promise.value(TaskRunner.STOP);
            });
  }

  private Promise<Duration> startOnce() {
    Promise<Boolean> vms = watcher.readVmList().map(pause -> true).mapError(cause -> false);
    Promise<Boolean> head = watcher.readHead().map(any -> true).mapError(cause -> false);
    return ParallelBatch.of(vms, head)
        .yield()
        .flatMap(any -> askPeers())
        .flatMap(
            any -> {
              if (state.bundles().current().isEmpty()) {
                return Promise.value(START_RETRY);
              }
              state.readiness().setStarted();
              membership.spread();
              return Promise.value(TaskRunner.STOP);
            });
  }

  private record Answer(String address, BundleDistribution.Head head) {}

  /** Asks peers for the head of their bundle and fetches the highest valid one. */
  private Promise<Boolean> askPeers() {
    List<Promise<Answer>> calls = new ArrayList<>();
    for (String address : BundleDistribution.startSources(state, START_SOURCES)) {
      calls.add(
          membership
              .contact(address)
              .flatMap(answered -> answered ? askHead(address) : Promise.value(noBundle(address))));
    }
    if (calls.isEmpty()) {
      return Promise.value(false);
    }
    return ParallelBatch.of(calls)
        .yield()
        .flatMap(
            answers -> {
              List<Answer> sorted = new ArrayList<>(answers);
              sorted.sort(Comparator.comparingLong((Answer a) -> a.head().version()).reversed());
              return fetchFirst(sorted, 0);
            });
  }

  private Promise<Answer> askHead(String address) {
    return client
        .call(address, "GET", "peer/v1/bundle/head", new byte[0])
        .map(
            response ->
                new Answer(
                    address,
                    Json.read(response.getBody().getBytes(), BundleDistribution.Head.class)))
        .mapError(cause -> noBundle(address));
  }

  private static Answer noBundle(String address) {
    return new Answer(address, new BundleDistribution.Head(0, ""));
  }

  private Promise<Boolean> fetchFirst(List<Answer> answers, int index) {
    long version = state.bundles().current().map(Bundle::version).orElse(0L);
    if (index == answers.size() || answers.get(index).head().version() <= version) {
      return Promise.value(false);
    }
    Answer answer = answers.get(index);
    return distribution
        .fetch(answer.address(), answer.head().digest())
        .mapError(cause -> BundleIntake.Result.INVALID)
        .flatMap(result -> fetchFirst(answers, index + 1));
  }

  private void digest(Context ctx) {
    byte[] body = ctx.get(PeerServer.PeerBody.class).bytes();
    state.controlCost().request(body.length);
    membership
        .handle(body)
        .onError(java.io.IOException.class, cause -> ctx.getResponse().status(400).send())
        .then(reply -> send(ctx, reply));
  }

  private void probe(Context ctx) {
    state.controlCost().request(0);
    membership
        .probeFor(ctx.getPathTokens().get("node"))
        .then(
            answered -> {
              state.controlCost().response(0);
              ctx.getResponse().status(answered ? 204 : 504).send();
            });
  }

  private void bundleHead(Context ctx) {
    state.controlCost().request(0);
    Bundle bundle = state.bundles().current().orElse(null);
    BundleDistribution.Head head =
        bundle == null
            ? new BundleDistribution.Head(0, "")
            : new BundleDistribution.Head(bundle.version(), bundle.digest());
    send(ctx, Json.toBytes(head));
  }

  private void bundlePart(Context ctx) {
    state.controlCost().request(0);
    String digest = ctx.getPathTokens().get("digest");
    intake
        .signedForm(digest)
        .or(() -> intake.partText(digest).map(t -> t.getBytes(StandardCharsets.UTF_8)))
        .ifPresentOrElse(content -> send(ctx, content), () -> ctx.getResponse().status(404).send());
  }

  private void send(Context ctx, byte[] json) {
    state.controlCost().response(json.length);
    ctx.getResponse().send("application/json", json);
  }
}
