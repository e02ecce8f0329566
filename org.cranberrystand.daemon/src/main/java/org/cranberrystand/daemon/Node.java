package org.cranberrystand.daemon;

import com.google.common.net.HostAndPort;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.daemon.internal.ActiveExchanges;
import org.cranberrystand.daemon.internal.AddressesHandler;
import org.cranberrystand.daemon.internal.AuditLog;
import org.cranberrystand.daemon.internal.AuditedPolicy;
import org.cranberrystand.daemon.internal.BundleIntake;
import org.cranberrystand.daemon.internal.CancelHandler;
import org.cranberrystand.daemon.internal.ControlPlane;
import org.cranberrystand.daemon.internal.EngineOrders;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.daemon.internal.ListenerConfig;
import org.cranberrystand.daemon.internal.Metrics;
import org.cranberrystand.daemon.internal.NodeState;
import org.cranberrystand.daemon.internal.ObservedPolicy;
import org.cranberrystand.daemon.internal.OperatorCommands;
import org.cranberrystand.daemon.internal.OperatorReports;
import org.cranberrystand.daemon.internal.OperatorServer;
import org.cranberrystand.daemon.internal.PeerClient;
import org.cranberrystand.daemon.internal.PeerEndpoints;
import org.cranberrystand.daemon.internal.PeerRequestEndpoints;
import org.cranberrystand.daemon.internal.PeerServer;
import org.cranberrystand.daemon.internal.PublishedBundleReader;
import org.cranberrystand.daemon.internal.RequestHandler;
import org.cranberrystand.daemon.internal.RequestRunner;
import org.cranberrystand.daemon.internal.RequestService;
import org.cranberrystand.daemon.internal.SchedulerLoop;
import org.cranberrystand.daemon.internal.SchedulerTimer;
import org.cranberrystand.daemon.internal.StreamCounters;
import org.cranberrystand.daemon.internal.StreamHandler;
import org.cranberrystand.daemon.internal.UpstreamPoller;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.membership.MembershipView;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.settings.NodeSettings;
import ratpack.exec.ExecController;
import ratpack.handling.ByMethodSpec;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * One node of the fleet: its listeners, scheduler, control plane and periodic tasks.
 *
 * <p>Safe for use by several threads.
 */
public final class Node implements AutoCloseable {
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;

  /** Minimum time of a shutdown, so that the announcement reaches the other nodes. */
  private static final long MIN_DRAIN_MILLIS = 500;

  private static final long LEDGER_EVICTION_INTERVAL_SECONDS = 10;

  private final NodeState state;
  private final NodeOptions options;
  private final EventLog log;
  private final AuditLog audit;
  private final Metrics metrics;
  private final BundleIntake bundleIntake;
  private final RequestRunner requestRunner;
  private final RequestService requestService;
  private final CancelHandler cancelHandler;
  private final UpstreamPoller upstreamPoller;
  private final ControlPlane controlPlane;
  private final PublishedBundleReader publishedBundleReader;

  /** Null if the dispatch policy is not a {@link Scheduler}. */
  private final SchedulerTimer schedulerTimer;

  /** Null if the dispatch policy is not a {@link Scheduler}, which reports the pools' health. */
  private final EngineOrders engineOrders;

  private final RatpackServer callerServer;
  private final PeerServer peerServer;
  private final OperatorServer operatorServer;
  private final PeerClient peerClient;
  private final ActiveExchanges activeExchanges = new ActiveExchanges();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile ScheduledFuture<?> ledgerEviction;

  private Node(
      NodeSettings settings, MonotonicClock clock, NodeOptions options, DispatchPolicy dispatch)
      throws Exception {
    this.options = options;
    this.state =
        new NodeState(settings, Incarnation.generate(settings.node(), new SecureRandom()), clock);
    this.log = new EventLog(settings.node());
    this.audit = new AuditLog(state.incarnation(), log);
    this.metrics = new Metrics(state.ledger());
    ObservedPolicy policy = new ObservedPolicy(new AuditedPolicy(dispatch, audit), metrics);
    SchedulerLoop scheduler = new SchedulerLoop(policy, log);
    this.bundleIntake = new BundleIntake(state, scheduler, log, audit);
    this.peerClient = new PeerClient(state, options.peerFault());
    this.requestRunner = new RequestRunner(state, scheduler, peerClient, log);
    this.requestService = new RequestService(state, requestRunner);
    this.cancelHandler = new CancelHandler(state, requestRunner);
    this.upstreamPoller = new UpstreamPoller(state, scheduler, log);
    this.callerServer = startCallerServer(settings.callers());
    PeerEndpoints peerEndpoints = new PeerEndpoints();
    this.peerServer =
        new PeerServer(
            state, options.peerThreads(), chain -> chain.all(activeExchanges).all(peerEndpoints));
    this.controlPlane =
        new ControlPlane(
            state,
            new ControlPlane.Addresses(callerAddress(), peerAddress()),
            execController(),
            peerClient,
            bundleIntake,
            scheduler,
            log);
    this.schedulerTimer =
        dispatch instanceof Scheduler schedulerPolicy
            ? new SchedulerTimer(state, scheduler, schedulerPolicy, controlPlane.membership())
            : null;
    this.engineOrders =
        schedulerTimer == null
            ? null
            : new EngineOrders(
                state,
                execController(),
                log,
                state.readiness()::mayDispatch,
                () -> schedulerTimer.poolHealth(policy));
    this.publishedBundleReader = new PublishedBundleReader(state);
    this.operatorServer =
        new OperatorServer(
            state,
            log,
            new OperatorReports(state, policy, metrics, audit, publishedBundleReader),
            new OperatorCommands(state, audit, bundleIntake, this::drain));
    PeerRequestEndpoints requestEndpoints =
        new PeerRequestEndpoints(state, requestService, cancelHandler);
    peerEndpoints.open(
        callerServer.getRegistry().orElseThrow().get(ServerConfig.class),
        chain -> {
          requestEndpoints.execute(chain);
          controlPlane.addEndpoints(chain);
        });
  }

  /**
   * Starts a node with the default options and the {@link Scheduler}.
   *
   * @param settings the settings; port 0 selects any free port
   * @param clock the clock of the node
   * @return the running node
   * @throws Exception if a listener cannot be opened
   */
  public static Node start(NodeSettings settings, MonotonicClock clock) throws Exception {
    return start(settings, clock, NodeOptions.defaults(), new Scheduler());
  }

  /**
   * Starts a node with the given options and dispatch policy.
   *
   * @param settings the settings; port 0 selects any free port
   * @param clock the clock of the node
   * @param options how the node is embedded
   * @param policy the dispatch policy; must not be shared with other nodes
   * @return the running node
   * @throws Exception if a listener cannot be opened
   */
  public static Node start(
      NodeSettings settings, MonotonicClock clock, NodeOptions options, DispatchPolicy policy)
      throws Exception {
    Node node = new Node(settings, clock, options, policy);
    node.controlPlane.start();
    node.startPeriodicTasks();
    node.audit.write(
        LogEvent.NODE_STARTED,
        AuditLog.SYSTEM,
        "start",
        "callers=" + node.callerAddress() + " operators=" + node.operatorAddress());
    return node;
  }

  /**
   * Returns the address of the listener for callers.
   *
   * @return host and port
   */
  public HostAndPort callerAddress() {
    return HostAndPort.fromParts(state.settings().callers().getHost(), callerServer.getBindPort());
  }

  /**
   * Returns the address of the listener for other nodes.
   *
   * @return host and port
   */
  public HostAndPort peerAddress() {
    return peerServer.address();
  }

  /**
   * Starts the graceful shutdown: rejects new work and completes answers in progress.
   *
   * @return a stage that completes when the last answer is complete or the drain timeout expires;
   *     the caller must then close the node
   */
  public CompletionStage<Void> drain() {
    if (draining.compareAndSet(false, true)) {
      controlPlane.startLeaving();
      pollDrained(state.clock().nowNanos());
    }
    return drained.minimalCompletionStage();
  }

  /**
   * Returns the state that the components of the node share.
   *
   * @return the shared state
   */
  public NodeState state() {
    return state;
  }

  /**
   * Returns the control plane, which handles membership, bundle distribution and leaving.
   *
   * @return the control plane
   */
  public ControlPlane controlPlane() {
    return controlPlane;
  }

  /**
   * Offers a bundle as if an operator had pushed it.
   *
   * @param signed the bundle
   * @return whether the bundle was put in force, or why not
   */
  public BundleIntake.Result offerBundle(SignedBundle signed) {
    return bundleIntake.offer("operator", signed);
  }

  /**
   * Returns a stage that completes when a graceful shutdown has ended.
   *
   * @return a stage that stays incomplete until {@link #drain} was called
   */
  public CompletionStage<Void> whenDrained() {
    return drained.minimalCompletionStage();
  }

  /**
   * Returns the address of the listener for operators.
   *
   * @return host and port
   */
  public HostAndPort operatorAddress() {
    return operatorServer.address();
  }

  @Override
  public void close() throws Exception {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    controlPlane.close();
    upstreamPoller.close();
    if (schedulerTimer != null) {
      schedulerTimer.close();
      engineOrders.close();
    }
    ledgerEviction.cancel(false);
    callerServer.stop();
    operatorServer.close();
    publishedBundleReader.close();
    peerServer.close();
    metrics.close();
    peerClient.close();
    requestRunner.close();
    log.write(LogEvent.NODE_STOPPED, "");
  }

  private void pollDrained(long startedAtNanos) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(state.clock().nowNanos() - startedAtNanos);
    boolean idle = activeExchanges.count() == 0 && elapsedMillis >= MIN_DRAIN_MILLIS;
    if (idle || elapsedMillis >= state.settings().limits().drainTimeoutMillis()) {
      drained.complete(null);
    } else if (!closed.get()) {
      execController()
          .getExecutor()
          .schedule(
              () -> pollDrained(startedAtNanos), DRAIN_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
          .isDone();
    }
  }

  private ExecController execController() {
    return callerServer.getRegistry().orElseThrow().get(ExecController.class);
  }

  // Both methods need one handler: Ratpack answers 405 at the first handler that matches the path
  // but not the method.
  private void routeRequestMethods(ByMethodSpec spec) {
    spec.post(new RequestHandler(state, requestService)).delete(cancelHandler);
  }

  private void startPeriodicTasks() {
    upstreamPoller.start(execController());
    if (schedulerTimer != null) {
      schedulerTimer.start(execController());
      engineOrders.start();
    }
    ledgerEviction =
        execController()
            .getExecutor()
            .scheduleWithFixedDelay(
                state.ledger()::evictExpired,
                LEDGER_EVICTION_INTERVAL_SECONDS,
                LEDGER_EVICTION_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
  }

  /**
   * Returns the counters of relayed streams.
   *
   * @return the live counters
   */
  public StreamCounters streamCounters() {
    return requestRunner.counters();
  }

  /**
   * Returns the reference to the current membership view, which tests can replace.
   *
   * @return the reference to the view that is used to forward requests
   */
  public AtomicReference<MembershipView> membership() {
    return state.membership();
  }

  /**
   * Returns the incarnation of the node, which is part of the identifiers that it issues.
   *
   * @return the incarnation
   */
  public Incarnation incarnation() {
    return state.incarnation();
  }

  private RatpackServer startCallerServer(HostAndPort address) throws Exception {
    ServerConfig config =
        ListenerConfig.of(
            address, options.callerThreads(), state.settings().limits().maxBodyBytes());
    return RatpackServer.start(
        spec ->
            spec.serverConfig(config)
                .handlers(
                    chain ->
                        chain
                            .all(activeExchanges)
                            .get("v1/addresses", new AddressesHandler(state))
                            .path(
                                "v1/requests/:name", ctx -> ctx.byMethod(this::routeRequestMethods))
                            .get(
                                "v1/streams/:reference", new StreamHandler(state, requestRunner))));
  }
}
