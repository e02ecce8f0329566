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
 * One node of the fleet.
 *
 * <p>Safe for use by several threads.
 */
public final class Node implements AutoCloseable {
  private static final long DRAIN_CHECK_MILLIS = 50;

  /** A leaving node stays at least this long, so that its announcement reaches the others. */
  private static final long MIN_DRAIN_MILLIS = 500;

  private static final long LEDGER_SWEEP_SECONDS = 10;

  private final NodeState state;
  private final NodeOptions options;
  private final EventLog log;
  private final AuditLog audit;
  private final Metrics metrics;
  private final BundleIntake intake;
  private final RequestRunner runner;
  private final RequestService requestService;
  private final CancelHandler cancelHandler;
  private final UpstreamPoller poller;
  private final ControlPlane control;
  private final PublishedBundleReader published;

  /** Null when the node runs another policy than {@link Scheduler}. */
  private final SchedulerTimer ticks;

  /** Null when there is no {@link Scheduler} that knows the service of the pools. */
  private final EngineOrders orders;

  private final RatpackServer callerServer;
  private final PeerServer peerServer;
  private final OperatorServer operatorServer;
  private final PeerClient peerClient;
  private final ActiveExchanges activeExchanges = new ActiveExchanges();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile ScheduledFuture<?> ledgerSweep;

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
    this.intake = new BundleIntake(state, scheduler, log, audit);
    this.peerClient = new PeerClient(state, options.peerFault());
    this.runner = new RequestRunner(state, scheduler, peerClient, log);
    this.requestService = new RequestService(state, runner);
    this.cancelHandler = new CancelHandler(state, runner);
    this.poller = new UpstreamPoller(state, scheduler, log);
    this.callerServer = startCallerServer(settings.callers());
    PeerEndpoints endpoints = new PeerEndpoints();
    this.peerServer =
        new PeerServer(
            state, options.peerThreads(), chain -> chain.all(activeExchanges).all(endpoints));
    this.control =
        new ControlPlane(
            state,
            new ControlPlane.Addresses(callerAddress(), peerAddress()),
            exec(),
            peerClient,
            intake,
            scheduler,
            log);
    this.ticks =
        dispatch instanceof Scheduler known
            ? new SchedulerTimer(state, scheduler, known, control.membership())
            : null;
    this.orders =
        ticks == null
            ? null
            : new EngineOrders(
                state, exec(), log, state.readiness()::mayDispatch, () -> ticks.poolHealth(policy));
    this.published = new PublishedBundleReader(state);
    this.operatorServer =
        new OperatorServer(
            state,
            log,
            new OperatorReports(state, policy, metrics, audit, published),
            new OperatorCommands(state, audit, intake, this::drain));
    PeerRequestEndpoints requests = new PeerRequestEndpoints(state, requestService, cancelHandler);
    endpoints.open(
        callerServer.getRegistry().orElseThrow().get(ServerConfig.class),
        chain -> {
          requests.execute(chain);
          control.addEndpoints(chain);
        });
  }

  /**
   * Starts a node.
   *
   * @param settings the settings; port 0 takes any free port
   * @param clock the clock of the node
   * @return the running node
   * @throws Exception if a listener cannot be opened
   */
  public static Node start(NodeSettings settings, MonotonicClock clock) throws Exception {
    return start(settings, clock, NodeOptions.defaults(), new Scheduler());
  }

  /**
   * Starts a node that shares its process with others.
   *
   * @param settings the settings; port 0 takes any free port
   * @param clock the clock of the node
   * @param options how the node is embedded
   * @param policy the dispatch policy; used by this node only from now on
   * @return the running node
   * @throws Exception if a listener cannot be opened
   */
  public static Node start(
      NodeSettings settings, MonotonicClock clock, NodeOptions options, DispatchPolicy policy)
      throws Exception {
    Node node = new Node(settings, clock, options, policy);
    node.control.start();
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
   * Starts the graceful shutdown: no new work is taken, answers in progress are completed.
   *
   * @return completed when the last answer is complete or the time for the shutdown is over; the
   *     node must then be closed
   */
  public CompletionStage<Void> drain() {
    if (draining.compareAndSet(false, true)) {
      control.startLeaving();
      checkDrained(state.clock().nowNanos());
    }
    return drained.minimalCompletionStage();
  }

  /**
   * Returns the state of the node.
   *
   * @return the state that the parts of the node share
   */
  public NodeState state() {
    return state;
  }

  /**
   * Returns the control plane of the node.
   *
   * @return membership, bundle distribution and leaving
   */
  public ControlPlane control() {
    return control;
  }

  /**
   * Offers a bundle in place of an operator.
   *
   * @param signed the bundle
   * @return what became of it
   */
  public BundleIntake.Result offerBundle(SignedBundle signed) {
    return intake.offer("operator", signed);
  }

  /**
   * Completes when a graceful shutdown has ended.
   *
   * @return a stage that never completes while the node is not told to leave
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
    control.close();
    poller.close();
    if (ticks != null) {
      ticks.close();
      orders.close();
    }
    ledgerSweep.cancel(false);
    callerServer.stop();
    operatorServer.close();
    published.close();
    peerServer.close();
    metrics.close();
    peerClient.close();
    runner.close();
    log.write(LogEvent.NODE_STOPPED, "");
  }

  private void checkDrained(long startedAtNanos) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(state.clock().nowNanos() - startedAtNanos);
    boolean idle = activeExchanges.count() == 0 && elapsedMillis >= MIN_DRAIN_MILLIS;
    if (idle || elapsedMillis >= state.settings().limits().drainTimeoutMillis()) {
      drained.complete(null);
    } else if (!closed.get()) {
      exec()
          .getExecutor()
          .schedule(() -> checkDrained(startedAtNanos), DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS)
          .isDone();
    }
  }

  private ExecController exec() {
    return callerServer.getRegistry().orElseThrow().get(ExecController.class);
  }

  // Ratpack answers 405 at the first handler of a path that has another method.
  private void requests(ByMethodSpec spec) {
    spec.post(new RequestHandler(state, requestService)).delete(cancelHandler);
  }

  private void startPeriodicTasks() {
    poller.start(exec());
    if (ticks != null) {
      ticks.start(exec());
      orders.start();
    }
    ledgerSweep =
        exec()
            .getExecutor()
            .scheduleWithFixedDelay(
                state.ledger()::evictExpired,
                LEDGER_SWEEP_SECONDS,
                LEDGER_SWEEP_SECONDS,
                TimeUnit.SECONDS);
  }

  /**
   * Returns the counters of relayed streams.
   *
   * @return the counters, which change
   */
  public StreamCounters streamCounters() {
    return runner.counters();
  }

  /**
   * Returns the view of the other nodes, which can be replaced.
   *
   * @return the view by which requests are forwarded
   */
  public AtomicReference<MembershipView> membership() {
    return state.membership();
  }

  /**
   * Returns the incarnation of the node.
   *
   * @return the incarnation that issues identifiers
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
                            .path("v1/requests/:name", ctx -> ctx.byMethod(this::requests))
                            .get("v1/streams/:reference", new StreamHandler(state, runner))));
  }
}
