package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.ColdUpstreams;
import org.cranberrystand.dispatch.HedgePolicy;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.dispatch.RetryAllowance;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.AddressOffer;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.membership.PeerTargets;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.membership.SharedObservations;
import org.cranberrystand.routing.CallerLimits;
import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.routing.ServicePool;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.cranberrystand.wire.settings.GatewaySettings;

/**
 * A node that forwards callers' requests to upstreams by declared routes.
 *
 * <p>A single event loop handles requests, dispatch decisions and reports between nodes. Other
 * threads serve the endpoints for the directory, readiness, peers and metrics from snapshots that
 * the event loop publishes. Thread-safe.
 */
public final class Gateway implements AutoCloseable, DirectoryView {
  private static final long TICK_MILLIS = 50;
  private static final int TICKS_PER_REFRESH = 2;
  private static final String PUBLISHED_PATH = "/peer/v1/published";
  private static final String METRICS_PATH = "/metrics";
  private static final String KNOWN_PARAMETER = "known";
  private static final int MAX_IDLE_NODE_CONNECTIONS = 32;
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

  /**
   * How long a change may take to arrive from the store before it is fetched from another node. Not
   * below the pause of a supplementary reader between two watches.
   */
  private static final long STORE_LAG_NANOS = 500_000_000L;

  /**
   * How long a change may take to arrive while a watch waits for it. After that, the connection of
   * the watch is probably dead.
   */
  private static final long WATCH_LAG_NANOS = 150_000_000L;

  /**
   * A node that stood still for less than this fraction of the deadline of an evacuation learns of
   * it in time.
   */
  private static final int EVACUATE_STANDSTILL_DIVISOR = 2;

  /** By then, the reports that arrived during a standstill are read and newer ones are there. */
  private static final long PEER_CONFIRMATION_NANOS = 600_000_000L;

  /**
   * The shortest interval between two fetches of changes from another node. Heartbeats change the
   * state many times per second, and each fetch opens a connection.
   */
  private static final long MIN_FETCH_INTERVAL_NANOS = 250_000_000L;

  private final GatewaySettings settings;
  private final EventLog log;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final NioEventLoopGroup group =
      new NioEventLoopGroup(1, new DefaultThreadFactory("gateway", true));
  private final EventLoop loop = group.next();
  private final long incarnation = new SecureRandom().nextLong() >>> 1;
  private final LoopLag lag =
      new LoopLag(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS), System.nanoTime());
  private final CallDispatcher dispatcher;
  private final Admission admission;
  private final QuotaLedger quotas;
  private final RetryAllowance<String> retries;
  private final CrashDetector crashes;
  private final PeerForwarding forwarding;
  private final ReachMonitor reach;
  private final RateLimiter limiter;
  private final BrittleUpstreams brittle;
  private final StreamLookup streams;
  private final StreamVersions versions;
  private final UpstreamVerifier verifier;
  private final PeerTable peers;
  private final FleetState fleet;
  private final CallerServer callers;
  private final PeerTargets targets;
  private final FleetReports reports;
  private final GatewayServers servers;
  private final GatewayShutdown shutdown;
  private final AtomicReference<AddressOffer> offer = new AtomicReference<>(AddressOffer.EMPTY);
  private HttpFetch fetch;
  private PublishedStore store;
  private PublishedFollower follower;
  private boolean fetchingState;
  private boolean placementHeld;
  private boolean upstreamsAsked;
  private long lastFetchNanos = System.nanoTime() - MIN_FETCH_INTERVAL_NANOS;
  private long upToDateNanos;
  private int ticks;
  private int nodeCount = 1;

  private Gateway(GatewaySettings settings, GatewayPorts ports, EventLog log) {
    this.settings = settings;
    this.log = log;
    this.servers = new GatewayServers(log);
    this.admission = new Admission(incarnation);
    this.dispatcher = createDispatcher();
    this.quotas = new QuotaLedger(settings.limits().quotaTolerance(), settings.startsWithFleet());
    quotas.setUsageListener(dispatcher::usedElsewhere);
    this.retries =
        RetryAllowance.ofFleet(settings.limits().retryRatio(), settings.limits().retrySlack());
    this.verifier = new UpstreamVerifier(loop, log);
    UpstreamClient client =
        new UpstreamClient(
            loop, ports.headers(), this::maxIdleConnections, this::connectEnded, log);
    this.crashes = new CrashDetector(loop, client, log);
    crashes.setRefusalListener(admission::refuseQuarantined);
    ColdUpstreams cold = new ColdUpstreams(settings.limits().coldTolerance());
    this.fleet =
        new FleetState(ports.decoder(), dispatcher, cold, client, verifier, crashes, metrics, log);
    metrics.observePublished(fleet::published);
    this.reach =
        new ReachMonitor(dispatcher, client, fleet, metrics, log, admission::forwardWaiting);
    long callerBytes = settings.memory().callerBytes();
    this.callers = new CallerServer(loop, this::callerLimits, callerBytes, admission);
    this.peers = new PeerTable(self(settings.listen().callers()));
    if (hasOtherSeeds()) {
      peers.expectPeers();
    }
    peers.setUpstreamDomains(fleet::failureDomain);
    this.targets = new PeerTargets(peers, seedHosts(settings), incarnation);
    this.forwarding = createForwarding(ports.headers());
    this.limiter = new RateLimiter(dispatcher, peers, cold, fleet, log);
    this.brittle = new BrittleUpstreams(dispatcher, peers, fleet, log);
    this.reports = createReports();
    this.streams = new StreamLookup(new StreamQuestions());
    this.versions =
        new StreamVersions(loop, fleet, ports.decoder(), settings.store().historyMillis(), log);
    this.shutdown =
        new GatewayShutdown(
            loop,
            callers,
            admission,
            settings.limits().shutdownMillis(),
            reports::sendNodeReport,
            log);
    admission.setContext(createContext(ports.headers(), client));
  }

  private RelayContext createContext(HeaderCodec headers, UpstreamClient client) {
    return new RelayContext(
        loop,
        headers,
        client,
        dispatcher,
        quotas,
        retries,
        createHedging(),
        new ResponseMemory(settings.memory().upstreamBytes(), metrics::setResponseBytes, log),
        crashes,
        new UpstreamSignals(fleet, dispatcher, limiter, brittle, log),
        forwarding,
        streams,
        versions,
        verifier,
        fleet::routing,
        shutdown,
        lag,
        log,
        metrics);
  }

  private void connectEnded(RegisteredUpstream upstream, boolean connected) {
    dispatcher.connectEnded(upstream, connected, System.nanoTime());
    if (!connected) {
      verifier.doubt(upstream);
    }
  }

  private Hedging createHedging() {
    return new Hedging(
        new HedgePolicy(settings.limits().hedgeShare()),
        () -> peers.hasFleetView(System.nanoTime()));
  }

  private CallDispatcher createDispatcher() {
    CallDispatcher created = new CallDispatcher(admission, incarnation);
    long evacuateMillis = settings.limits().evacuateMillis();
    if (evacuateMillis > 0) {
      created.setMaxStandstill(
          TimeUnit.MILLISECONDS.toNanos(evacuateMillis / EVACUATE_STANDSTILL_DIVISOR));
    }
    return created;
  }

  private final class StreamQuestions implements StreamLookup.Messenger {
    @Override
    public void ask(ImmutableList<String> sought) {
      reports.askForStreams(sought);
    }

    @Override
    public void answer(String host, ImmutableList<StreamOrigins.Origin> origins) {
      reports.answerStreams(host, origins);
    }
  }

  private NodeInfo self(HostAndPort callerAddress) {
    return new NodeInfo(
        settings.node(),
        host(),
        callerAddress.toString(),
        false,
        settings.cores(),
        settings.failureDomain());
  }

  private PeerForwarding createForwarding(HeaderCodec headers) {
    UpstreamClient nodeClient =
        new UpstreamClient(
            loop,
            new NodeResponseCodec(headers),
            pool -> MAX_IDLE_NODE_CONNECTIONS,
            (node, connected) -> {},
            log);
    return new PeerForwarding(peers, nodeClient, incarnation);
  }

  private FleetReports createReports() {
    return new FleetReports(
        peers,
        targets,
        dispatcher,
        quotas,
        new ReportSource(),
        this::observationsReported,
        new ReportSocket(
            loop, settings.listen().reportPort(), report -> reports.handleReport(report), log),
        log,
        incarnation);
  }

  private final class ReportSource implements FleetReports.Source {
    @Override
    public PublishedVersion version() {
      return follower == null ? PublishedVersion.NONE : follower.state().version();
    }

    @Override
    public boolean readsStore() {
      return follower != null && follower.readsStore();
    }

    @Override
    public boolean isReady() {
      return Gateway.this.isReady();
    }

    @Override
    public SharedObservations observations() {
      return SharedObservations.builder()
          .leavingUpstreams(fleet.leavingUpstreams())
          .upstreamLimits(limiter.statements().reports())
          .refusalLimits(brittle.statements().reports())
          .crashes(crashes.reports())
          .survivedCrashes(crashes.survivedCrashes())
          .unreachablePools(reach.unreachablePools().asList())
          .streamOrigins(streams.recent())
          .storeSteadySeconds(follower.storeSteadySeconds())
          .build();
    }
  }

  private void observationsReported(NodeInfo sender, SharedObservations observations) {
    follower.storeSteadyAtOther(observations.storeSteadySeconds());
    fleet.leavingReported(sender.node(), observations.leavingUpstreams());
    limiter.statements().reported(sender.node(), observations.upstreamLimits());
    brittle.statements().reported(sender.node(), observations.refusalLimits());
    crashes.reported(sender.node(), observations.crashes(), observations.survivedCrashes());
    forwarding.reported(sender.node(), observations.unreachablePools());
    streams.reported(sender.host(), observations.streamOrigins(), observations.soughtStreams());
  }

  private static ImmutableSet<String> seedHosts(GatewaySettings settings) {
    return settings.seeds().stream()
        .map(HostAndPort::getHost)
        .collect(ImmutableSet.toImmutableSet());
  }

  private boolean hasOtherSeeds() {
    return !Sets.difference(seedHosts(settings), ImmutableSet.of(host())).isEmpty();
  }

  /**
   * Starts a gateway.
   *
   * @param settings the settings of the node
   * @param ports the adapter of the platform
   * @param log the event log
   * @return the running gateway
   * @throws Exception if a listener cannot be opened
   */
  public static Gateway start(GatewaySettings settings, GatewayPorts ports, EventLog log)
      throws Exception {
    Gateway gateway = new Gateway(settings, ports, log);
    gateway.open(ports);
    log.write(
        LogEvent.NODE_STARTED,
        "callers=" + settings.listen().callers() + " incarnation=" + gateway.incarnation);
    return gateway;
  }

  private void open(GatewayPorts ports) throws Exception {
    GatewaySettings.Listen listen = settings.listen();
    callers.open(listen.callers());
    // With port 0 in the settings, the system has chosen the port by now.
    peers.setSelf(self(HostAndPort.fromParts(host(), callerPort())));
    servers.open(listen.directory(), ports.directory().apply(this));
    servers.open(listen.ready(), ports.readiness().apply(this));
    servers.open(listen.peers(), new HttpEndpoint(PUBLISHED_PATH, this::publishedSince));
    servers.open(
        listen.metrics(),
        new HttpEndpoint(METRICS_PATH, query -> HttpEndpoint.ofText(metrics.scrape())));
    fetch = new HttpFetch(servers.group());
    store = ports.store().open(fetch, settings.store().address(), log);
    follower =
        new PublishedFollower(
            loop, store, fleet, log, settings.store().heartbeatMillis(), incarnation);
    UpstreamRuns runs = ports.runs().open(fetch);
    versions.setClients(store, runs, new StateConfirmation(loop, follower, () -> nodeCount));
    verifier.setClient(runs);
    reports.open(host());
    StoreRole expectedRole = hasOtherSeeds() ? StoreRole.SUPPLEMENTARY : StoreRole.LEADING;
    loop.execute(() -> follower.start(expectedRole));
    loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
        .isDone();
  }

  /** Replies with the changes since the version that another node knows. */
  private HttpEndpoint.Reply publishedSince(Map<String, List<String>> query) {
    PublishedVersion known =
        PublishedVersion.parse(query.getOrDefault(KNOWN_PARAMETER, List.of("")).get(0))
            .orElse(PublishedVersion.NONE);
    return HttpEndpoint.ofBytes(PublishedStateCodec.encode(fleet.published().updateSince(known)));
  }

  private String host() {
    return settings.listen().callers().getHost();
  }

  private CallerLimits callerLimits() {
    RoutingTable table = fleet.routing();
    return table == null ? CallerLimits.defaults() : table.limits();
  }

  /** Returns how many idle connections this node may keep to one upstream of a pool. */
  private int maxIdleConnections(String pool) {
    RoutingTable table = fleet.routing();
    ServicePool declared = table == null ? null : table.pools().get(pool);
    return declared == null ? 1 : declared.idleConnectionsPerNode(nodeCount);
  }

  private void tick() {
    try {
      long now = System.nanoTime();
      lag.tick(now);
      ticks++;
      reports.tick(now);
      limiter.tick(now);
      dispatcher.tick(now);
      followStandstill(now);
      streams.tick(now);
      versions.tick(now);
      reach.tick(now);
      if (ticks % TICKS_PER_REFRESH == 0) {
        refresh(now);
      }
    } catch (RuntimeException e) {
      log.write(LogEvent.TASK_FAILED, "task=tick", e);
    }
  }

  /** Has the state confirmed by the store or by other nodes after the node stood still. */
  private void followStandstill(long now) {
    long heldNanos = dispatcher.heldNanos(now);
    boolean held = heldNanos > 0;
    if (held != placementHeld) {
      placementHeld = held;
      log.write(
          held ? LogEvent.PLACEMENT_HELD : LogEvent.PLACEMENT_RESUMED,
          "version=" + follower.state().version() + " waiting=" + dispatcher.waitingCount());
      if (held) {
        follower.readMissed(
            isConfirmed -> {
              if (isConfirmed) {
                dispatcher.stateConfirmed(System.nanoTime());
              }
            });
      }
    } else if (heldNanos >= PEER_CONFIRMATION_NANOS && isConfirmedByPeers(now)) {
      dispatcher.stateConfirmed(now);
    }
  }

  private boolean isConfirmedByPeers(long now) {
    return peers
        .reportWithNewestVersion(now)
        .map(report -> !report.version().isNewerThan(follower.state().version()))
        .orElse(false);
  }

  private void refresh(long now) {
    fleet.expireUpstreams(now);
    reports.refresh(now);
    limiter.refresh(now);
    brittle.refresh(now);
    nodeCount = peers.nodeCount(now);
    dispatcher.ownDomainChanged(peers.cellCount() > 1 ? settings.failureDomain() : "");
    retries.setNodeCount(peers.sharingNodeCount(now));
    metrics.setLoad(
        dispatcher.waitingCount(), dispatcher.runningCount(), callers.connectionCount(), nodeCount);
    metrics.setCallerMemory(callers.memory());
    metrics.setLimitedUpstreams(limiter.statements().limitedCount());
    metrics.setColdUpstreams(limiter.coldCount());
    metrics.setQuarantined(crashes.refusedCount());
    offer.set(buildOffer(now));
    askUpstreamsOnce();
    follower.setRole(StoreRole.of(peers, now));
    follower.storeReadByOthers();
    fetchStateIfBehind(now);
  }

  /** Asks upstreams for the streams that began before this node started, if any can have. */
  private void askUpstreamsOnce() {
    if (!upstreamsAsked && fleet.routing() != null) {
      upstreamsAsked = true;
      if (!settings.startsWithFleet()) {
        versions.askAll();
      }
    }
  }

  private AddressOffer buildOffer(long now) {
    ImmutableList.Builder<NodeInfo> nodes = ImmutableList.builder();
    if (isReady()) {
      nodes.add(peers.self());
    }
    ImmutableList<NodeInfo> ready = nodes.addAll(peers.nodesAcceptingCallers(now)).build();
    ImmutableList<NodeInfo> reaching =
        ready.stream().filter(this::reachesAllPools).collect(ImmutableList.toImmutableList());
    return new AddressOffer(reaching.isEmpty() ? ready : reaching);
  }

  private boolean reachesAllPools(NodeInfo node) {
    return node.node().equals(settings.node())
        ? reach.unreachablePools().isEmpty()
        : forwarding.reachesAllPools(node);
  }

  /**
   * Fetches the published state from another node that has a newer version, if this node does not
   * read the store or the store is late to report the change.
   */
  private void fetchStateIfBehind(long now) {
    PeerReport newestReport = peers.reportWithNewestVersion(now).orElse(null);
    PublishedVersion known = follower.state().version();
    if (newestReport == null || !newestReport.version().isNewerThan(known)) {
      upToDateNanos = now;
      return;
    }
    if (fetchingState || now - lastFetchNanos < MIN_FETCH_INTERVAL_NANOS) {
      return;
    }
    boolean isWatching = !follower.isPassive() && follower.isWatchWaiting();
    long lagNanos = isWatching ? WATCH_LAG_NANOS : STORE_LAG_NANOS;
    if (!follower.isPassive() && now - upToDateNanos < lagNanos) {
      return;
    }
    if (isWatching) {
      follower.renewWatch("node " + newestReport.sender().node() + " has a newer version");
    }
    fetchingState = true;
    lastFetchNanos = now;
    URI uri =
        URI.create(
            "http://"
                + HostAndPort.fromParts(
                    newestReport.sender().host(), settings.listen().peers().getPort())
                + PUBLISHED_PATH
                + "?"
                + KNOWN_PARAMETER
                + "="
                + known);
    fetch
        .get(uri, PEER_TIMEOUT)
        .whenComplete(
            (response, failure) ->
                loop.execute(() -> stateFetched(newestReport, response, failure)));
  }

  private void stateFetched(PeerReport peer, HttpFetch.Response response, Throwable failure) {
    fetchingState = false;
    if (failure != null) {
      log.write(LogEvent.PEER_UNREACHABLE, "peer=" + peer.sender().node() + " cause=" + failure);
      return;
    }
    try {
      follower.applyPeerUpdate(fleet.reduced(PublishedStateCodec.decode(response.body())));
    } catch (IOException e) {
      log.write(LogEvent.REPORT_MALFORMED, "peer=" + peer.sender().node(), e);
    }
  }

  /**
   * Returns the port of the listener for callers.
   *
   * @return the bound port, also if the settings specify port 0
   */
  public int callerPort() {
    return callers.address().getPort();
  }

  @Override
  public boolean isReady() {
    return fleet.routing() != null && !shutdown.isStarted();
  }

  @Override
  public ImmutableList<String> callerAddresses() {
    return offer.get().draw(ThreadLocalRandom.current());
  }

  @Override
  public int addressLifetimeSeconds() {
    return settings.limits().addressLifetimeSeconds();
  }

  /**
   * Starts a graceful shutdown: callers are directed to other nodes, and responses in progress are
   * completed.
   *
   * @return a stage that completes when no caller is connected or can connect any more, at the
   *     latest at the time limit for the shutdown; the gateway must then be closed
   */
  public CompletionStage<Void> shutDownGracefully() {
    log.write(LogEvent.NODE_DRAINING, "waiting=" + dispatcher.waitingCount());
    long requestedNanos = System.nanoTime();
    CompletableFuture<Void> finished = new CompletableFuture<>();
    loop.execute(() -> shutdown.start(requestedNanos, () -> finished.complete(null)));
    return finished;
  }

  /**
   * Applies changed settings. Only the seeds take effect; the other settings require a restart.
   *
   * @param changed the new settings
   */
  public void reload(GatewaySettings changed) {
    log.write(
        LogEvent.SETTINGS_RELOADED,
        "seeds=" + changed.seeds() + " same=" + changed.equals(settings));
    loop.execute(() -> targets.setSeeds(seedHosts(changed)));
  }

  @Override
  public void close() throws Exception {
    follower.close();
    store.close();
    callers.close();
    reports.close();
    servers.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(1, TimeUnit.SECONDS);
    log.write(LogEvent.NODE_STOPPED, "");
  }
}
