package org.cranberrystand.daemon;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.security.SecureRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.daemon.internal.AddressesHandler;
import org.cranberrystand.daemon.internal.BundleIntake;
import org.cranberrystand.daemon.internal.CancelHandler;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.daemon.internal.NodeState;
import org.cranberrystand.daemon.internal.PeerClient;
import org.cranberrystand.daemon.internal.PeerRequestEndpoints;
import org.cranberrystand.daemon.internal.PeerServer;
import org.cranberrystand.daemon.internal.PlatformWatcher;
import org.cranberrystand.daemon.internal.RequestHandler;
import org.cranberrystand.daemon.internal.RequestRunner;
import org.cranberrystand.daemon.internal.RequestService;
import org.cranberrystand.daemon.internal.SchedulerLoop;
import org.cranberrystand.daemon.internal.StreamCounters;
import org.cranberrystand.daemon.internal.StreamHandler;
import org.cranberrystand.daemon.internal.UpstreamPoller;
import org.cranberrystand.daemon.internal.UpstreamSignals;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.membership.MembershipView;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.MonotonicClock;
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
  private static final int THREADS = 4;
  private static final long LEDGER_SWEEP_SECONDS = 10;

  private final NodeState state;
  private final EventLog log;
  private final RequestRunner runner;
  private final RequestService requestService;
  private final CancelHandler cancelHandler;
  private final UpstreamSignals signals;
  private final UpstreamPoller poller;
  private final PlatformWatcher watcher;
  private final RatpackServer callerServer;
  private final PeerServer peerServer;
  private final PeerClient peerClient;
  private volatile ScheduledFuture<?> ledgerSweep;

  private Node(NodeSettings settings, MonotonicClock clock, DispatchPolicy policy)
      throws Exception {
    this.state =
        new NodeState(settings, Incarnation.draw(settings.node(), new SecureRandom()), clock);
    this.log = new EventLog(settings.node());
    SchedulerLoop scheduler = new SchedulerLoop(policy, log);
    BundleIntake intake = new BundleIntake(state, scheduler, log);
    this.signals =
        new UpstreamSignals(
            state,
            directory ->
                scheduler.feed(new SchedulerEvent.DirectoryChanged(directory, clock.nowNanos())),
            log);
    this.peerClient = new PeerClient(state);
    this.runner = new RequestRunner(state, scheduler, peerClient, signals, log);
    this.requestService = new RequestService(state, runner);
    this.cancelHandler = new CancelHandler(state, runner);
    this.peerServer =
        new PeerServer(state, new PeerRequestEndpoints(state, requestService, cancelHandler));
    this.poller = new UpstreamPoller(state, scheduler, signals, log);
    this.callerServer = startCallerServer(settings.callers());
    this.watcher =
        new PlatformWatcher(
            state,
            callerServer.getRegistry().orElseThrow().get(ExecController.class),
            log,
            signed -> intake.offer("config-service", signed),
            directory -> signals.directoryChanged());
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
    return start(settings, clock, new Scheduler());
  }

  /**
   * Starts a node with a given dispatch policy.
   *
   * @param settings the settings; port 0 takes any free port
   * @param clock the clock of the node
   * @param policy the policy; used by this node only from now on
   * @return the running node
   * @throws Exception if a listener cannot be opened
   */
  public static Node start(NodeSettings settings, MonotonicClock clock, DispatchPolicy policy)
      throws Exception {
    Node node = new Node(settings, clock, policy);
    node.watcher.start();
    node.startPeriodicTasks();
    node.log.write(LogEvent.NODE_STARTED, "callers=" + node.callerAddress());
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

  @Override
  public void close() throws Exception {
    watcher.close();
    poller.close();
    ledgerSweep.cancel(false);
    callerServer.stop();
    peerServer.close();
    peerClient.close();
    runner.close();
    log.write(LogEvent.NODE_STOPPED, "");
  }

  // Ratpack answers 405 at the first handler of a path that has another method.
  private void requests(ByMethodSpec spec) {
    spec.post(new RequestHandler(state, requestService)).delete(cancelHandler);
  }

  private void startPeriodicTasks() {
    ExecController exec = callerServer.getRegistry().orElseThrow().get(ExecController.class);
    poller.start(exec);
    ledgerSweep =
        exec.getExecutor()
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
        ServerConfig.builder()
            .address(InetAddress.getByName(address.getHost()))
            .port(address.getPort())
            .development(false)
            .registerShutdownHook(false)
            .threads(THREADS)
            .maxContentLength(state.settings().limits().maxBodyBytes())
            .build();
    return RatpackServer.start(
        spec ->
            spec.serverConfig(config)
                .handlers(
                    chain ->
                        chain
                            .get("v1/addresses", new AddressesHandler(state))
                            .path("v1/requests/:name", ctx -> ctx.byMethod(this::requests))
                            .get("v1/streams/:reference", new StreamHandler(state, runner))));
  }
}
