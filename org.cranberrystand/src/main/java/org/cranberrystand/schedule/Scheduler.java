package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.placement.PrefixIndex;
import org.cranberrystand.placement.ShareAllocator;
import org.cranberrystand.placement.SubsetSelector;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.upstream.WindowSettings;

/**
 * The dispatch policy that nodes use.
 *
 * <p>Routes each event to the dispatcher of its pool and keeps the state that all pools share:
 * queued and running requests, suspect contents, the retry budget, estimated output lengths and the
 * load of the peers. Takes all times from the events. Not thread-safe.
 */
public final class Scheduler implements DispatchPolicy {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long IMMEDIATE_RETRY_MILLIS = 0;

  /** Connections of an upstream that break within this time count as one crash. */
  private static final long CRASH_WINDOW_NANOS = 1_000_000_000;

  /** Output beyond the estimate is charged in steps, since token events are frequent. */
  private static final double CHARGE_STEP_TOKENS = 64;

  /**
   * Rate at which the backlog counts as demand, so that a node with a queue gets a larger share.
   */
  private static final double BACKLOG_DEMAND_PER_SECOND = 0.1;

  private static final int MAX_GOSSIPED_TEAMS = 16;
  private static final int MAX_REPORTED_TEAMS = 1_000;

  /** The latency of plain services varies between calls, so only large changes count. */
  private static final WindowSettings SERVICE_WINDOW_SETTINGS =
      new WindowSettings(true, 32, 1e9, 2_000, 4, 2_000, 1e9);

  private final SchedulerOptions options;
  private final Map<String, PoolDispatcher> pools = new LinkedHashMap<>();
  private final RequestTable requestTable = new RequestTable();
  private final OutputEstimator outputEstimator = new OutputEstimator();
  private final PoisonContentRegistry poisonRegistry = new PoisonContentRegistry();
  private final SubsetSelector subsetSelector;
  private UpstreamDirectory directory = UpstreamDirectory.empty();
  private Bundle bundle = Bundle.builder(1).build();
  private ShareAllocator shareAllocator;
  private String self = "";
  private ImmutableSet<String> liveNodes = ImmutableSet.of();
  private long lastPeersChangeNanos;
  private boolean draining;
  private long nowNanos;

  /** Creates a scheduler without upstreams and with all features enabled. */
  public Scheduler() {
    this(SchedulerOptions.defaults());
  }

  /**
   * Creates a scheduler without upstreams.
   *
   * @param options enabled features and limits
   */
  public Scheduler(SchedulerOptions options) {
    this.options = options;
    this.subsetSelector = new SubsetSelector(options.nodesPerEngine());
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event) {
    nowNanos = event.atNanos();
    List<SchedulerAction> actions = requestTable.beginEvent(nowNanos);
    if (event instanceof SchedulerEvent.TokensProduced produced) {
      recordTokens(produced);
    } else if (event instanceof SchedulerEvent.Submitted submitted) {
      submit(submitted.item());
    } else if (event instanceof SchedulerEvent.Finished finished) {
      finishRequest(finished);
    } else if (event instanceof SchedulerEvent.ConnectionBroken broken) {
      handleBrokenConnection(broken.key());
    } else if (event instanceof SchedulerEvent.Refused refused) {
      handleRefusal(refused);
    } else if (event instanceof SchedulerEvent.CallerGone gone) {
      handleCallerGone(gone.key());
    } else {
      handleStateChange(event);
    }
    pools.values().forEach(pool -> pool.advance(nowNanos));
    return actions;
  }

  private void handleStateChange(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.LoadReported reported) {
      findEngine(reported.upstream()).ifPresent(e -> e.window().reported(reported.report()));
    } else if (event instanceof SchedulerEvent.CacheReported reported) {
      updatePrefixCache(reported);
    } else if (event instanceof SchedulerEvent.DirectoryChanged changed) {
      directory = changed.directory();
      updateUpstreams();
    } else if (event instanceof SchedulerEvent.BundleChanged changed) {
      bundle = changed.bundle();
      pools.values().forEach(pool -> pool.applyBundle(bundle));
    } else if (event instanceof SchedulerEvent.PeersChanged changed) {
      updatePeers(changed);
    } else if (event instanceof SchedulerEvent.ContentReported reported) {
      poisonRegistry.mergePeerReport(reported);
    } else if (event instanceof SchedulerEvent.DrainStarted) {
      drain();
    } else if (event instanceof SchedulerEvent.Tick) {
      advanceShares();
    }
  }

  private void submit(WorkItem item) {
    QueuedItem entry =
        new QueuedItem(
            item,
            isService(item.kind().pool()) ? 0 : outputEstimator.estimate(item),
            item.promptTokens() >= options.longPrefillTokens(),
            nowNanos);
    if (draining) {
      requestTable.reject(entry, NotRunReason.LEAVING, IMMEDIATE_RETRY_MILLIS, "node is draining");
      return;
    }
    PoolDispatcher pool = pool(item.kind().pool());
    PoisonContentRegistry.Status status =
        options.has(SchedulerFeature.POISON_ISOLATION)
            ? poisonRegistry.status(item.contentDigest(), nowNanos)
            : PoisonContentRegistry.Status.CLEAR;
    if (status == PoisonContentRegistry.Status.QUARANTINED) {
      long remainingNanos = poisonRegistry.remainingQuarantineNanos(item.contentDigest(), nowNanos);
      requestTable.reject(
          entry,
          NotRunReason.QUARANTINED,
          remainingNanos / NANOS_PER_MILLI,
          "content is quarantined after repeated upstream crashes");
      return;
    }
    requestTable.addQueued(entry);
    if (status == PoisonContentRegistry.Status.SUSPECT && !pool.enginePool().isEmpty()) {
      pool.submitIsolated(entry, nowNanos);
    } else {
      pool.submit(entry, nowNanos);
    }
  }

  private boolean isService(String pool) {
    UpstreamPool declared = bundle.pools().get(pool);
    return declared != null && declared.type() == PoolType.SERVICE;
  }

  private PoolDispatcher pool(String name) {
    PoolDispatcher existing = pools.get(name);
    if (existing != null) {
      return existing;
    }
    WindowSettings base = isService(name) ? SERVICE_WINDOW_SETTINGS : options.windowSettings();
    WindowSettings settings =
        options.has(SchedulerFeature.ADAPTIVE_WINDOWS)
            ? base
            : new WindowSettings(
                false,
                base.initialSequences(),
                base.initialTokens(),
                base.maxTokenGapMillis(),
                base.maxSlowdown(),
                base.maxQueueMillis(),
                base.maxPrefillMillis());
    PrefixIndex prefixIndex =
        new PrefixIndex(options.maxBlocksPerEngine(), options.cacheGapPolicy());
    PoolDispatcher pool =
        new PoolDispatcher(
            options,
            new EnginePool(options, settings, prefixIndex),
            requestTable,
            team -> bundle.teamWeight(team),
            nowNanos);
    pool.setSelf(self);
    pool.applyBundle(bundle);
    pools.put(name, pool);
    return pool;
  }

  private void updateUpstreams() {
    TreeSet<String> names = new TreeSet<>(pools.keySet());
    directory.all().forEach(u -> names.add(u.pool()));
    for (String name : names) {
      ImmutableList<UpstreamRecord> all = directory.inPool(name);
      List<UpstreamRecord> used = all;
      if (options.has(SchedulerFeature.SUBSETS) && liveNodes.size() > options.nodesPerEngine()) {
        ImmutableSet<String> subset =
            subsetSelector.select(self, liveNodes, all.stream().map(UpstreamRecord::name).toList());
        used = all.stream().filter(u -> subset.contains(u.name())).toList();
      }
      pool(name).updateUpstreams(used, nowNanos);
    }
    applyShares();
  }

  private void updatePeers(SchedulerEvent.PeersChanged event) {
    chargeRemoteService(event);
    requestTable.peerLoads().update(event.peers());
    ImmutableSet.Builder<String> names = ImmutableSet.builder();
    names.add(event.self());
    event.peers().forEach(peer -> names.add(peer.node()));
    ImmutableSet<String> live = names.build();
    if (shareAllocator == null || !self.equals(event.self())) {
      self = event.self();
      shareAllocator = new ShareAllocator(self);
      pools.values().forEach(pool -> pool.setSelf(self));
    }
    Map<String, Double> demand = new HashMap<>();
    event.peers().forEach(peer -> demand.put(peer.node(), demandTokensPerSecond(peer)));
    demand.put(self, demandTokensPerSecond(ownLoad(nowNanos)));
    shareAllocator.observe(demand, nowNanos);
    boolean membersChanged = !live.equals(liveNodes);
    liveNodes = live;
    if (membersChanged && options.has(SchedulerFeature.SUBSETS)) {
      updateUpstreams();
    } else {
      applyShares();
    }
  }

  private static double demandTokensPerSecond(SchedulerEvent.PeerLoad load) {
    long backlog = load.backlogTokens().values().stream().mapToLong(tokens -> tokens).sum();
    return load.demandTokensPerSecond() + backlog * BACKLOG_DEMAND_PER_SECOND;
  }

  private void chargeRemoteService(SchedulerEvent.PeersChanged event) {
    double seconds = Math.min(2.0, (double) (nowNanos - lastPeersChangeNanos) / NANOS_PER_SECOND);
    lastPeersChangeNanos = nowNanos;
    if (!options.has(SchedulerFeature.PEER_FAIRNESS)) {
      return;
    }
    Map<String, Long> remote = new HashMap<>();
    event
        .peers()
        .forEach(
            peer -> peer.teamTokensPerSecond().forEach((t, r) -> remote.merge(t, r, Long::sum)));
    remote.forEach(
        (team, rate) ->
            pools
                .values()
                .forEach(
                    pool -> {
                      for (Tier tier : Tier.values()) {
                        pool.queue(tier).chargeRemote(team, rate * seconds);
                      }
                    }));
  }

  private void advanceShares() {
    if (shareAllocator != null) {
      shareAllocator.advance(nowNanos);
      applyShares();
    }
  }

  private void applyShares() {
    double share =
        shareAllocator == null || !options.has(SchedulerFeature.SHARES)
            ? 1
            : shareAllocator.share();
    if (options.has(SchedulerFeature.SUBSETS) && liveNodes.size() > options.nodesPerEngine()) {
      share = Math.min(1, share * liveNodes.size() / options.nodesPerEngine());
    }
    for (PoolDispatcher pool : pools.values()) {
      for (EngineState engine : pool.enginePool().engines()) {
        engine.setShare(share);
      }
      pool.markDispatchNeeded();
    }
  }

  private void updatePrefixCache(SchedulerEvent.CacheReported event) {
    if (options.has(SchedulerFeature.CACHE_EVENTS)) {
      for (PoolDispatcher pool : pools.values()) {
        if (pool.enginePool().find(event.upstream()) != null) {
          pool.enginePool()
              .prefixIndex()
              .applyCacheEvents(event.upstream(), event.stored(), event.evicted(), event.gap());
        }
      }
    }
  }

  private Optional<EngineState> findEngine(String upstream) {
    return pools.values().stream()
        .map(pool -> pool.enginePool().find(upstream))
        .filter(engine -> engine != null)
        .findFirst();
  }

  private void recordTokens(SchedulerEvent.TokensProduced event) {
    RunningRequest request = requestTable.running(event.key());
    if (request == null) {
      return;
    }
    request.pool().recordTokens(request, event.tokens(), nowNanos);
    if (request.producedTokens() > request.chargedOutputTokens()) {
      request.pool().charge(request, CHARGE_STEP_TOKENS);
      requestTable.teamUsage().recordService(request.item().team(), CHARGE_STEP_TOKENS, nowNanos);
    }
  }

  private void finishRequest(SchedulerEvent.Finished event) {
    RunningRequest request = requestTable.removeRunning(event.key());
    if (request == null) {
      return;
    }
    if (event.succeeded()) {
      request.pool().enginePool().ejectionPolicy().succeeded(request.engine().name());
      poisonRegistry.recordAnswer(request.item().contentDigest(), nowNanos);
      if (request.isDecoding()) {
        outputEstimator.observe(request.item(), request.producedTokens());
      } else {
        request.engine().window().callAnswered(nowNanos - request.dispatchedNanos(), nowNanos);
      }
    }
    settleCharge(request);
  }

  private void settleCharge(RunningRequest request) {
    double correction = request.producedTokens() - request.chargedOutputTokens();
    request.pool().charge(request, correction);
    requestTable.teamUsage().recordService(request.item().team(), correction, nowNanos);
    request.pool().recordEnd(request);
  }

  private void handleBrokenConnection(long key) {
    RunningRequest request = requestTable.running(key);
    if (request == null) {
      return;
    }
    EngineState engine = request.engine();
    if (nowNanos - engine.lastCrashNanos() > CRASH_WINDOW_NANOS || engine.lastCrashNanos() == 0) {
      engine.setLastCrashNanos(nowNanos);
      engine.crashSuspects().clear();
      for (long other : engine.runningKeys()) {
        String digest = requestTable.running(other).item().contentDigest();
        if (poisonRegistry.status(digest, nowNanos) == PoisonContentRegistry.Status.SUSPECT) {
          engine.crashSuspects().add(digest);
        }
      }
      request.pool().enginePool().prefixIndex().removeEngine(engine.name());
    }
    requestTable.removeRunning(key);
    String digest = request.item().contentDigest();
    boolean isolated =
        engine.crashSuspects().size() == 1 && engine.crashSuspects().contains(digest);
    poisonRegistry.recordCrash(digest, isolated, nowNanos);
    recordFailure(request);
    settleCharge(request);
  }

  private void recordFailure(RunningRequest request) {
    EnginePool enginePool = request.pool().enginePool();
    enginePool
        .ejectionPolicy()
        .failed(request.engine().name(), enginePool.engines().size(), nowNanos);
    enginePool.refresh(nowNanos);
  }

  private void handleRefusal(SchedulerEvent.Refused event) {
    RunningRequest request = requestTable.removeRunning(event.key());
    if (request == null) {
      return;
    }
    QueuedItem entry = request.queued();
    if (event.connected()) {
      request.engine().window().refused(event.retryAfterMillis(), nowNanos);
    } else {
      recordFailure(request);
    }
    request.pool().recordEnd(request);
    requestTable.teamUsage().recordService(request.item().team(), -entry.costTokens(), nowNanos);
    entry.setRefusedBy(request.engine().name());
    boolean inTime = nowNanos < entry.item().deadlineNanos();
    boolean budgetLeft =
        !options.has(SchedulerFeature.RETRY_BUDGET)
            || requestTable.retries().tryAcquire(entry.tier());
    if (draining || !inTime || !budgetLeft || request.pool().enginePool().usableCount() == 0) {
      long retryAfterMillis = request.pool().retryAfterMillis(entry.tier(), nowNanos);
      requestTable.reject(
          entry,
          NotRunReason.REFUSED,
          retryAfterMillis,
          "refused by upstream " + request.engine().name());
      return;
    }
    requestTable.addQueued(entry);
    if (request.isIsolated()) {
      request.pool().submitIsolated(entry, nowNanos);
    } else {
      request.pool().requeue(entry);
    }
  }

  private void handleCallerGone(long key) {
    QueuedItem entry = requestTable.queued(key);
    if (entry != null) {
      pool(entry.item().kind().pool()).remove(entry);
      requestTable.reject(
          entry,
          NotRunReason.CANCELLED,
          IMMEDIATE_RETRY_MILLIS,
          "caller cancelled or disconnected");
      return;
    }
    RunningRequest request = requestTable.running(key);
    if (request != null && request.item().kind().isCancelOnDisconnect()) {
      requestTable.cancel(key);
    }
  }

  private void drain() {
    draining = true;
    for (PoolDispatcher pool : pools.values()) {
      for (QueuedItem entry : pool.removeAll()) {
        boolean urgent = entry.tier() == Tier.URGENT && !entry.item().isHandedOver();
        if (!urgent || !options.has(SchedulerFeature.HAND_OVER) || !requestTable.handOver(entry)) {
          requestTable.reject(
              entry, NotRunReason.LEAVING, IMMEDIATE_RETRY_MILLIS, "node is draining");
        }
      }
    }
  }

  /**
   * Returns the last decision about a request.
   *
   * @param key the key of the request
   * @return the decision, or empty if there is none or it was evicted
   */
  public Optional<DecisionRecord> explain(long key) {
    return requestTable.decisions().find(key);
  }

  /**
   * Returns the registry of suspect and quarantined contents.
   *
   * @return the registry, which the caller must not modify
   */
  public PoisonContentRegistry poisonRegistry() {
    return poisonRegistry;
  }

  /**
   * Returns the load of this node, for gossip to peers.
   *
   * @param atNanos the current time in nanoseconds
   * @return the load
   */
  public SchedulerEvent.PeerLoad ownLoad(long atNanos) {
    long roomTokens = 0;
    for (PoolDispatcher pool : pools.values()) {
      roomTokens += draining ? 0 : pool.roomTokens();
    }
    ImmutableMap.Builder<Tier, Long> backlog = ImmutableMap.builder();
    queueStatistics().forEach((tier, figures) -> backlog.put(tier, figures.tokens()));
    return new SchedulerEvent.PeerLoad(
        self,
        backlog.buildOrThrow(),
        roomTokens,
        requestTable.teamUsage().largestTeams(MAX_GOSSIPED_TEAMS, atNanos),
        Math.round(requestTable.teamUsage().totalTokensPerSecond(atNanos)));
  }

  private Map<Tier, SchedulerStatistics.QueueStatistics> queueStatistics() {
    Map<Tier, SchedulerStatistics.QueueStatistics> result = new EnumMap<>(Tier.class);
    for (Tier tier : Tier.values()) {
      int requests = 0;
      double tokens = 0;
      for (PoolDispatcher pool : pools.values()) {
        requests += pool.queue(tier).size();
        tokens += pool.queue(tier).queuedTokens();
      }
      result.put(tier, new SchedulerStatistics.QueueStatistics(requests, Math.round(tokens)));
    }
    return result;
  }

  /**
   * Returns statistics for operators.
   *
   * @param atNanos the current time in nanoseconds
   * @return the statistics
   */
  public SchedulerStatistics statistics(long atNanos) {
    ImmutableList.Builder<SchedulerStatistics.UpstreamStatistics> upstreams =
        ImmutableList.builder();
    pools.forEach(
        (name, pool) ->
            pool.enginePool().engines().forEach(e -> upstreams.add(e.statistics(name))));
    return new SchedulerStatistics(
        ImmutableMap.copyOf(queueStatistics()),
        requestTable.teamUsage().largestTeams(MAX_REPORTED_TEAMS, atNanos),
        upstreams.build(),
        requestTable.runningCount());
  }
}
