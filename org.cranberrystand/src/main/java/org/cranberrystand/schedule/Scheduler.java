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
 * The dispatch policy of a node.
 *
 * <p>Routes events to the dispatcher of the pool concerned and keeps what all pools share: running
 * requests, poison register, retry budget, learned output lengths and the load of the peers. Not
 * thread-safe; takes all times from the events.
 */
public final class Scheduler implements DispatchPolicy {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long LEAVING_RETRY_MILLIS = 0;
  private static final long CRASH_BURST_NANOS = 1_000_000_000;

  /** Output beyond the estimate is charged in steps, to keep the cost per token event small. */
  private static final double CHARGE_STEP_TOKENS = 64;

  /** Part of the backlog that counts as demand, so that a node with a queue gains share. */
  private static final double BACKLOG_PER_SECOND = 0.1;

  private static final int GOSSIPED_TEAMS = 16;
  private static final int REPORTED_TEAMS = 1_000;

  /** Plain services differ in latency from call to call, so only large changes count. */
  private static final WindowSettings SERVICE_WINDOW =
      new WindowSettings(true, 32, 1e9, 2_000, 4, 2_000, 1e9);

  private final SchedulerOptions options;
  private final Map<String, PoolDispatcher> pools = new LinkedHashMap<>();
  private final RequestTable requests = new RequestTable();
  private final OutputEstimator outputs = new OutputEstimator();
  private final PoisonRegister poison = new PoisonRegister();
  private final SubsetSelector subsets;
  private UpstreamDirectory directory = UpstreamDirectory.empty();
  private Bundle bundle = Bundle.builder(1).build();
  private ShareAllocator shares;
  private String self = "";
  private ImmutableSet<String> nodes = ImmutableSet.of();
  private long peersNanos;
  private boolean draining;
  private long nowNanos;

  /** Creates a scheduler without upstreams and with all features on. */
  public Scheduler() {
    this(SchedulerOptions.defaults());
  }

  /**
   * Creates a scheduler without upstreams.
   *
   * @param options switches and limits
   */
  public Scheduler(SchedulerOptions options) {
    this.options = options;
    this.subsets = new SubsetSelector(options.nodesPerEngine());
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event) {
    nowNanos = event.atNanos();
    List<SchedulerAction> actions = requests.begin(nowNanos);
    if (event instanceof SchedulerEvent.TokensProduced produced) {
      produced(produced);
    } else if (event instanceof SchedulerEvent.Submitted submitted) {
      submit(submitted.item());
    } else if (event instanceof SchedulerEvent.Finished finished) {
      finished(finished);
    } else if (event instanceof SchedulerEvent.ConnectionBroken broken) {
      broken(broken.key());
    } else if (event instanceof SchedulerEvent.Refused refused) {
      refused(refused);
    } else if (event instanceof SchedulerEvent.CallerGone gone) {
      callerGone(gone.key());
    } else {
      handleState(event);
    }
    pools.values().forEach(pool -> pool.run(nowNanos));
    return actions;
  }

  private void handleState(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.LoadReported reported) {
      findEngine(reported.upstream()).ifPresent(e -> e.window().reported(reported.report()));
    } else if (event instanceof SchedulerEvent.CacheReported reported) {
      cacheReported(reported);
    } else if (event instanceof SchedulerEvent.DirectoryChanged changed) {
      directory = changed.directory();
      updateUpstreams();
    } else if (event instanceof SchedulerEvent.BundleChanged changed) {
      bundle = changed.bundle();
      pools.values().forEach(pool -> pool.bundle(bundle));
    } else if (event instanceof SchedulerEvent.PeersChanged changed) {
      peersChanged(changed);
    } else if (event instanceof SchedulerEvent.ContentReported reported) {
      poison.reported(reported);
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
            isService(item.kind().pool()) ? 0 : outputs.estimate(item),
            item.promptTokens() >= options.longPrefillTokens(),
            nowNanos);
    if (draining) {
      requests.reject(entry, NotRunReason.LEAVING, LEAVING_RETRY_MILLIS, "node is leaving");
      return;
    }
    PoolDispatcher pool = pool(item.kind().pool());
    PoisonRegister.Status status =
        options.has(SchedulerFeature.POISON_ISOLATION)
            ? poison.status(item.contentDigest(), nowNanos)
            : PoisonRegister.Status.CLEAR;
    if (status == PoisonRegister.Status.QUARANTINED) {
      long remaining = poison.remainingNanos(item.contentDigest(), nowNanos);
      requests.reject(
          entry, NotRunReason.QUARANTINED, remaining / NANOS_PER_MILLI, "crashed twice");
      return;
    }
    requests.addQueued(entry);
    if (status == PoisonRegister.Status.SUSPECT && !pool.engines().isEmpty()) {
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
    PoolDispatcher known = pools.get(name);
    if (known != null) {
      return known;
    }
    WindowSettings base = isService(name) ? SERVICE_WINDOW : options.windowSettings();
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
    PrefixIndex prefixes = new PrefixIndex(options.blocksPerEngine(), options.cacheGapPolicy());
    PoolDispatcher pool =
        new PoolDispatcher(
            options,
            new EnginePool(options, settings, prefixes),
            requests,
            team -> bundle.teamWeight(team),
            nowNanos);
    pool.setSelf(self);
    pool.bundle(bundle);
    pools.put(name, pool);
    return pool;
  }

  private void updateUpstreams() {
    TreeSet<String> names = new TreeSet<>(pools.keySet());
    directory.all().forEach(u -> names.add(u.pool()));
    for (String name : names) {
      ImmutableList<UpstreamRecord> all = directory.inPool(name);
      List<UpstreamRecord> used = all;
      if (options.has(SchedulerFeature.SUBSETS) && nodes.size() > options.nodesPerEngine()) {
        ImmutableSet<String> subset =
            subsets.select(self, nodes, all.stream().map(UpstreamRecord::name).toList());
        used = all.stream().filter(u -> subset.contains(u.name())).toList();
      }
      pool(name).upstreams(used, nowNanos);
    }
    applyShares();
  }

  private void peersChanged(SchedulerEvent.PeersChanged event) {
    chargeRemoteService(event);
    requests.peers().update(event.peers());
    ImmutableSet.Builder<String> names = ImmutableSet.builder();
    names.add(event.self());
    event.peers().forEach(peer -> names.add(peer.node()));
    ImmutableSet<String> known = names.build();
    if (shares == null || !self.equals(event.self())) {
      self = event.self();
      shares = new ShareAllocator(self);
      pools.values().forEach(pool -> pool.setSelf(self));
    }
    Map<String, Double> demand = new HashMap<>();
    event.peers().forEach(peer -> demand.put(peer.node(), demand(peer)));
    demand.put(self, demand(ownLoad(nowNanos)));
    shares.observe(demand, nowNanos);
    boolean membersChanged = !known.equals(nodes);
    nodes = known;
    if (membersChanged && options.has(SchedulerFeature.SUBSETS)) {
      updateUpstreams();
    } else {
      applyShares();
    }
  }

  private static double demand(SchedulerEvent.PeerLoad load) {
    long backlog = load.backlogTokens().values().stream().mapToLong(tokens -> tokens).sum();
    return load.demandTokensPerSecond() + backlog * BACKLOG_PER_SECOND;
  }

  private void chargeRemoteService(SchedulerEvent.PeersChanged event) {
    double seconds = Math.min(2.0, (double) (nowNanos - peersNanos) / NANOS_PER_SECOND);
    peersNanos = nowNanos;
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
    if (shares != null) {
      shares.advance(nowNanos);
      applyShares();
    }
  }

  private void applyShares() {
    double share = shares == null || !options.has(SchedulerFeature.SHARES) ? 1 : shares.share();
    if (options.has(SchedulerFeature.SUBSETS) && nodes.size() > options.nodesPerEngine()) {
      share = Math.min(1, share * nodes.size() / options.nodesPerEngine());
    }
    for (PoolDispatcher pool : pools.values()) {
      for (EngineState engine : pool.engines().engines()) {
        engine.setShare(share);
      }
      pool.markChanged();
    }
  }

  private void cacheReported(SchedulerEvent.CacheReported event) {
    if (options.has(SchedulerFeature.CACHE_EVENTS)) {
      for (PoolDispatcher pool : pools.values()) {
        if (pool.engines().find(event.upstream()) != null) {
          pool.engines()
              .prefixes()
              .applyCacheEvents(event.upstream(), event.stored(), event.evicted(), event.gap());
        }
      }
    }
  }

  private Optional<EngineState> findEngine(String upstream) {
    return pools.values().stream()
        .map(pool -> pool.engines().find(upstream))
        .filter(engine -> engine != null)
        .findFirst();
  }

  private void produced(SchedulerEvent.TokensProduced event) {
    RunningRequest request = requests.running(event.key());
    if (request == null) {
      return;
    }
    request.pool().produced(request, event.tokens(), nowNanos);
    if (request.produced() > request.chargedOutput()) {
      request.pool().charge(request, CHARGE_STEP_TOKENS);
      requests.usage().served(request.item().team(), CHARGE_STEP_TOKENS, nowNanos);
    }
  }

  private void finished(SchedulerEvent.Finished event) {
    RunningRequest request = requests.removeRunning(event.key());
    if (request == null) {
      return;
    }
    if (event.succeeded()) {
      request.pool().engines().ejections().succeeded(request.engine().name());
      poison.answered(request.item().contentDigest(), nowNanos);
      if (request.isDecoding()) {
        outputs.observe(request.item(), request.produced());
      } else {
        request.engine().window().callAnswered(nowNanos - request.dispatchedNanos(), nowNanos);
      }
    }
    settle(request);
  }

  private void settle(RunningRequest request) {
    double correction = request.produced() - request.chargedOutput();
    request.pool().charge(request, correction);
    requests.usage().served(request.item().team(), correction, nowNanos);
    request.pool().ended(request);
  }

  private void broken(long key) {
    RunningRequest request = requests.running(key);
    if (request == null) {
      return;
    }
    EngineState engine = request.engine();
    if (nowNanos - engine.lastCrashNanos() > CRASH_BURST_NANOS || engine.lastCrashNanos() == 0) {
      engine.setLastCrashNanos(nowNanos);
      engine.crashSuspects().clear();
      for (long other : engine.running()) {
        String digest = requests.running(other).item().contentDigest();
        if (poison.status(digest, nowNanos) == PoisonRegister.Status.SUSPECT) {
          engine.crashSuspects().add(digest);
        }
      }
      request.pool().engines().prefixes().removeEngine(engine.name());
    }
    requests.removeRunning(key);
    String digest = request.item().contentDigest();
    boolean onlySuspect =
        engine.crashSuspects().size() == 1 && engine.crashSuspects().contains(digest);
    poison.crashed(digest, onlySuspect, nowNanos);
    failed(request);
    settle(request);
  }

  private void failed(RunningRequest request) {
    EnginePool engines = request.pool().engines();
    engines.ejections().failed(request.engine().name(), engines.engines().size(), nowNanos);
    engines.refresh(nowNanos);
  }

  private void refused(SchedulerEvent.Refused event) {
    RunningRequest request = requests.removeRunning(event.key());
    if (request == null) {
      return;
    }
    QueuedItem entry = request.queued();
    if (event.connected()) {
      request.engine().window().refused(event.retryAfterMillis(), nowNanos);
    } else {
      failed(request);
    }
    request.pool().ended(request);
    requests.usage().served(request.item().team(), -entry.cost(), nowNanos);
    entry.setRefusedBy(request.engine().name());
    boolean inTime = nowNanos < entry.item().deadlineNanos();
    boolean budget =
        !options.has(SchedulerFeature.RETRY_BUDGET) || requests.retries().take(entry.tier());
    if (draining || !inTime || !budget || request.pool().engines().usableCount() == 0) {
      long retry = request.pool().retryMillis(entry.tier(), nowNanos);
      requests.reject(entry, NotRunReason.REFUSED, retry, "refused by " + request.engine().name());
      return;
    }
    requests.addQueued(entry);
    if (request.isIsolated()) {
      request.pool().submitIsolated(entry, nowNanos);
    } else {
      request.pool().requeue(entry);
    }
  }

  private void callerGone(long key) {
    QueuedItem entry = requests.queued(key);
    if (entry != null) {
      pool(entry.item().kind().pool()).remove(entry);
      requests.reject(entry, NotRunReason.CANCELLED, LEAVING_RETRY_MILLIS, "caller is gone");
      return;
    }
    RunningRequest request = requests.running(key);
    if (request != null && request.item().kind().isCancelOnDisconnect()) {
      requests.cancel(key);
    }
  }

  private void drain() {
    draining = true;
    for (PoolDispatcher pool : pools.values()) {
      for (QueuedItem entry : pool.removeAll()) {
        boolean urgent = entry.tier() == Tier.URGENT && !entry.item().isHandedOver();
        if (!urgent || !options.has(SchedulerFeature.HAND_OVER) || !requests.handOver(entry)) {
          requests.reject(entry, NotRunReason.LEAVING, LEAVING_RETRY_MILLIS, "node is leaving");
        }
      }
    }
  }

  /**
   * Returns why a request went where it went.
   *
   * @param key the key of the request
   * @return the last decision, or empty if it is not known any more
   */
  public Optional<DecisionRecord> explain(long key) {
    return requests.decisions().find(key);
  }

  /**
   * Returns the contents that this node holds suspect or quarantined, to be spread to peers.
   *
   * @return the register; read only
   */
  public PoisonRegister poison() {
    return poison;
  }

  /**
   * Returns the load of this node, to be spread to peers.
   *
   * @param atNanos the time
   * @return the figures
   */
  public SchedulerEvent.PeerLoad ownLoad(long atNanos) {
    long room = 0;
    for (PoolDispatcher pool : pools.values()) {
      room += draining ? 0 : pool.roomTokens();
    }
    ImmutableMap.Builder<Tier, Long> backlog = ImmutableMap.builder();
    queueFigures().forEach((tier, figures) -> backlog.put(tier, figures.tokens()));
    return new SchedulerEvent.PeerLoad(
        self,
        backlog.buildOrThrow(),
        room,
        requests.usage().largest(GOSSIPED_TEAMS, atNanos),
        Math.round(requests.usage().totalPerSecond(atNanos)));
  }

  private Map<Tier, SchedulerStatistics.QueueFigures> queueFigures() {
    Map<Tier, SchedulerStatistics.QueueFigures> result = new EnumMap<>(Tier.class);
    for (Tier tier : Tier.values()) {
      int requests = 0;
      double tokens = 0;
      for (PoolDispatcher pool : pools.values()) {
        requests += pool.queue(tier).size();
        tokens += pool.queue(tier).cost();
      }
      result.put(tier, new SchedulerStatistics.QueueFigures(requests, Math.round(tokens)));
    }
    return result;
  }

  /**
   * Returns figures for operators.
   *
   * @param atNanos the time
   * @return the figures
   */
  public SchedulerStatistics statistics(long atNanos) {
    ImmutableList.Builder<SchedulerStatistics.UpstreamFigures> upstreams = ImmutableList.builder();
    pools.forEach(
        (name, pool) -> pool.engines().engines().forEach(e -> upstreams.add(e.figures(name))));
    return new SchedulerStatistics(
        ImmutableMap.copyOf(queueFigures()),
        requests.usage().largest(REPORTED_TEAMS, atNanos),
        upstreams.build(),
        requests.runningCount());
  }
}
