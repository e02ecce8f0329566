package org.cranberrystand.daemon;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.security.SecureRandom;
import org.cranberrystand.daemon.internal.AddressesHandler;
import org.cranberrystand.daemon.internal.AuditLog;
import org.cranberrystand.daemon.internal.AuditedPolicy;
import org.cranberrystand.daemon.internal.BundleIntake;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.daemon.internal.Metrics;
import org.cranberrystand.daemon.internal.NodeState;
import org.cranberrystand.daemon.internal.ObservedPolicy;
import org.cranberrystand.daemon.internal.OperatorCommands;
import org.cranberrystand.daemon.internal.OperatorReports;
import org.cranberrystand.daemon.internal.OperatorServer;
import org.cranberrystand.daemon.internal.PeerClient;
import org.cranberrystand.daemon.internal.PeerServer;
import org.cranberrystand.daemon.internal.PlatformWatcher;
import org.cranberrystand.daemon.internal.PublishedBundleReader;
import org.cranberrystand.daemon.internal.RequestHandler;
import org.cranberrystand.daemon.internal.RequestRunner;
import org.cranberrystand.daemon.internal.SchedulerLoop;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.settings.NodeSettings;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * One node of the fleet.
 *
 * <p>Safe for use by several threads.
 */
public final class Node implements AutoCloseable {
  private static final int THREADS = 4;

  private final NodeState state;
  private final EventLog log;
  private final RequestRunner runner;
  private final PlatformWatcher watcher;
  private final RatpackServer callerServer;
  private final PeerServer peerServer;
  private final PeerClient peerClient;
  private final SchedulerLoop scheduler;
  private final AuditLog audit;
  private final Metrics metrics;
  private final PublishedBundleReader published;
  private final OperatorServer operatorServer;

  private Node(NodeSettings settings, MonotonicClock clock) throws Exception {
    this.state =
        new NodeState(settings, Incarnation.draw(settings.node(), new SecureRandom()), clock);
    this.log = new EventLog(settings.node());
    this.audit = new AuditLog(state.incarnation(), log);
    this.metrics = new Metrics(state.ledger());
    ObservedPolicy policy = new ObservedPolicy(new AuditedPolicy(new Scheduler(), audit), metrics);
    this.scheduler = new SchedulerLoop(policy, log);
    BundleIntake intake = new BundleIntake(state, scheduler, log);
    this.runner = new RequestRunner(state, scheduler, log);
    this.peerClient = new PeerClient(state);
    this.peerServer = new PeerServer(state, chain -> {});
    this.callerServer = startCallerServer(settings.callers());
    this.published = new PublishedBundleReader(state);
    this.operatorServer =
        new OperatorServer(
            state,
            log,
            new OperatorReports(state, policy, metrics, audit, published),
            new OperatorCommands(
                state, audit, signed -> intake.offer("operator", signed), this::startLeaving));
    this.watcher =
        new PlatformWatcher(
            state,
            callerServer.getRegistry().orElseThrow().get(ratpack.exec.ExecController.class),
            log,
            signed -> intake.offer("config-service", signed),
            directory ->
                scheduler.feed(new SchedulerEvent.DirectoryChanged(directory, clock.nowNanos())));
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
    Node node = new Node(settings, clock);
    node.watcher.start();
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
   * Returns the address of the listener for operators.
   *
   * @return host and port
   */
  public HostAndPort operatorAddress() {
    return operatorServer.address();
  }

  @Override
  public void close() throws Exception {
    watcher.close();
    callerServer.stop();
    operatorServer.close();
    published.close();
    peerServer.close();
    metrics.close();
    peerClient.close();
    runner.close();
    log.write(LogEvent.NODE_STOPPED, "");
  }

  private void startLeaving() {
    if (state.leaving().compareAndSet(false, true)) {
      scheduler.feed(new SchedulerEvent.DrainStarted(state.clock().nowNanos()));
    }
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
                            .post("v1/requests/:kind", new RequestHandler(state, runner))));
  }
}
