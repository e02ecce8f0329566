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
 * Control plane of one node: membership, bundle distribution, pause detection and leaving.
 *
 * <p>Safe for use by several threads.
 */
public final class ControlPlane implements AutoCloseable {
  private static final long PAUSE_CHECK_INTERVAL_MILLIS = 250;
  private static final int START_PEER_COUNT = 3;
  private static final Duration START_RETRY_DELAY = Duration.ofMillis(500);
  private static final Duration REFRESH_RETRY_DELAY = Duration.ofSeconds(1);
  private static final int REFRESH_PEER_COUNT = 3;

  private final NodeState state;
  private final PeerClient client;
  private final BundleIntake intake;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final ExecController exec;
  private final TaskRunner tasks;
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
   * @param exec runs the calls and the timers
   * @param client sends the calls to other nodes
   * @param intake verifies bundles and puts them in force
   * @param scheduler receives events for changes
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
    this.tasks = new TaskRunner(exec, log, new Random(state.incarnation().id()));
    this.distribution = new BundleDistribution(state, client, intake, log, tasks);
    MemberRecord self = selfRecord(state, addresses);
    state.self().set(self);
    this.membership =
        new MembershipService(state, self, client, distribution, scheduler, log, tasks);
    this.watcher =
        new PlatformWatcher(
            state,
            tasks,
            log,
            () -> distribution.isWatcher(state.membership().get()),
            this::offerPublished);
    intake.setAcceptedListener(membership::scheduleGossip);
    state
        .leaveSignals()
        .setListeners(
            directory ->
                scheduler.feed(
                    new SchedulerEvent.DirectoryChanged(directory, state.clock().nowNanos())),
            membership::scheduleGossip);
  }

  /**
   * Addresses of the listeners of a node.
   *
   * @param callers the listener for callers
   * @param peers the listener for peers
   */
  public record Addresses(HostAndPort callers, HostAndPort peers) {}

  /** Starts to contact peers and the platform; the node becomes ready once it has a bundle. */
  public void start() {
    long phaseMillis = new Random(state.incarnation().id()).nextInt(1_000);
    timers.add(
        exec.getExecutor()
            .scheduleAtFixedRate(
                this::checkForPause,
                PAUSE_CHECK_INTERVAL_MILLIS,
                PAUSE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS));
    long period = MembershipService.periodMillis();
    timers.add(
        exec.getExecutor()
            .scheduleAtFixedRate(
                membership::runPeriod, phaseMillis, period, TimeUnit.MILLISECONDS));
    tasks.runPeriodically("start", Duration.ZERO, this::tryStart);
    watcher.start();
  }

  public MembershipService membership() {
    return membership;
  }

  /**
   * Adds the handlers of control calls from other nodes.
   *
   * @param chain the chain of the listener for peers
   * @throws Exception never
   */
  public void addEndpoints(Chain chain) throws Exception {
    chain
        .post("peer/v1/digest", this::handleDigest)
        .get("peer/v1/probe/:node", this::handleProbe)
        .get("peer/v1/bundle/head", this::serveBundleHead)
        .get("peer/v1/bundle/part/:digest", this::serveBundlePart);
  }

  /** Announces that the node is leaving and makes the scheduler reject new work. */
  public void startLeaving() {
    if (state.leaving().compareAndSet(false, true)) {
      membership.announceLeaving();
      scheduler.feed(new SchedulerEvent.DrainStarted(state.clock().nowNanos()));
    }
  }

  /**
   * Returns the state of the bundle distribution.
   *
   * @return the state as this node currently knows it
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
    tasks.close();
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

  /** Offers the bundle that the configuration service publishes; returns its version, or 0. */
  private Promise<Long> offerPublished(SignedBundle signed) {
    return distribution
        .fetchPartsAndOffer("config-service", signed, watcher::readPart)
        .map(result -> intake.versionOf(signed));
  }

  /** Refreshes the view if the process was paused. */
  private void checkForPause() {
    boolean paused = state.readiness().pauses().tick();
    if ((paused || !state.readiness().pauses().isViewCurrent())
        && refreshing.compareAndSet(false, true)) {
      log.write(LogEvent.NODE_PAUSED, "");
      tasks.runPeriodically("refresh", Duration.ZERO, this::refresh);
    }
  }

  /** Refreshes the view after a pause; repeated until a peer or the platform answers. */
  private Promise<Duration> refresh() {
    long pauses = state.readiness().pauses().pauseCount();
    Promise<Boolean> peers =
        membership.exchangeWithSample(REFRESH_PEER_COUNT).map(answered -> answered > 0);
    Promise<Boolean> vms = watcher.readVmList().map(pause -> true).mapError(cause -> false);
    Promise<Boolean> head = watcher.readHead().map(any -> true).mapError(cause -> false);
    return ParallelBatch.of(peers, vms, head)
        .yield()
        .flatMap(
            successes -> {
              if (!successes.contains(true)) {
                return Promise.value(REFRESH_RETRY_DELAY);
              }
              state.readiness().pauses().confirmRefresh(pauses);
              refreshing.set(false);
              return Promise.value(TaskRunner.STOP);
            });
  }

  /** Reads platform and peers; repeated until a bundle is in force. */
  private Promise<Duration> tryStart() {
    Promise<Boolean> vms = watcher.readVmList().map(pause -> true).mapError(cause -> false);
    Promise<Boolean> head = watcher.readHead().map(any -> true).mapError(cause -> false);
    return ParallelBatch.of(vms, head)
        .yield()
        .flatMap(any -> fetchFromPeers())
        .flatMap(
            any -> {
              if (state.bundles().current().isEmpty()) {
                return Promise.value(START_RETRY_DELAY);
              }
              state.readiness().setStarted();
              membership.scheduleGossip();
              return Promise.value(TaskRunner.STOP);
            });
  }

  /** The bundle in force on a peer. */
  private record PeerHead(String address, BundleDistribution.Head head) {}

  /** Asks peers for the version of their bundle and fetches the newest valid one. */
  private Promise<Boolean> fetchFromPeers() {
    List<Promise<PeerHead>> calls = new ArrayList<>();
    for (String address : BundleDistribution.selectStartPeers(state, START_PEER_COUNT)) {
      calls.add(
          membership
              .exchangeAllWith(address)
              .flatMap(
                  answered ->
                      answered ? readHead(address) : Promise.value(withoutBundle(address))));
    }
    if (calls.isEmpty()) {
      return Promise.value(false);
    }
    return ParallelBatch.of(calls)
        .yield()
        .flatMap(
            heads -> {
              List<PeerHead> sorted = new ArrayList<>(heads);
              sorted.sort(Comparator.comparingLong((PeerHead a) -> a.head().version()).reversed());
              return fetchNewer(sorted, 0);
            });
  }

  private Promise<PeerHead> readHead(String address) {
    return client
        .call(address, "GET", "peer/v1/bundle/head", new byte[0])
        .map(
            response ->
                new PeerHead(
                    address,
                    Json.read(response.getBody().getBytes(), BundleDistribution.Head.class)))
        .mapError(cause -> withoutBundle(address));
  }

  private static PeerHead withoutBundle(String address) {
    return new PeerHead(address, new BundleDistribution.Head(0, ""));
  }

  private Promise<Boolean> fetchNewer(List<PeerHead> heads, int index) {
    long version = state.bundles().current().map(Bundle::version).orElse(0L);
    if (index == heads.size() || heads.get(index).head().version() <= version) {
      return Promise.value(false);
    }
    PeerHead candidate = heads.get(index);
    return distribution
        .fetch(candidate.address(), candidate.head().digest())
        .mapError(cause -> BundleIntake.Result.INVALID)
        .flatMap(result -> fetchNewer(heads, index + 1));
  }

  private void handleDigest(Context ctx) {
    byte[] body = ctx.get(PeerServer.PeerBody.class).bytes();
    state.controlCost().countRequest(body.length);
    membership
        .handleDigest(body)
        .onError(java.io.IOException.class, cause -> ctx.getResponse().status(400).send())
        .then(reply -> sendJson(ctx, reply));
  }

  private void handleProbe(Context ctx) {
    state.controlCost().countRequest(0);
    membership
        .probeOnBehalf(ctx.getPathTokens().get("node"))
        .then(
            answered -> {
              state.controlCost().countResponse(0);
              ctx.getResponse().status(answered ? 204 : 504).send();
            });
  }

  private void serveBundleHead(Context ctx) {
    state.controlCost().countRequest(0);
    Bundle bundle = state.bundles().current().orElse(null);
    BundleDistribution.Head head =
        bundle == null
            ? new BundleDistribution.Head(0, "")
            : new BundleDistribution.Head(bundle.version(), bundle.digest());
    sendJson(ctx, Json.toBytes(head));
  }

  private void serveBundlePart(Context ctx) {
    state.controlCost().countRequest(0);
    String digest = ctx.getPathTokens().get("digest");
    intake
        .signedJson(digest)
        .or(() -> intake.partText(digest).map(t -> t.getBytes(StandardCharsets.UTF_8)))
        .ifPresentOrElse(
            content -> sendJson(ctx, content), () -> ctx.getResponse().status(404).send());
  }

  private void sendJson(Context ctx, byte[] json) {
    state.controlCost().countResponse(json.length);
    ctx.getResponse().send("application/json", json);
  }
}
