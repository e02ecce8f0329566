package org.cranberrystand.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.fairness.FairQueue;
import org.cranberrystand.fairness.TeamShares;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Admits, queues and dispatches the requests of one pool.
 *
 * <p>Not thread-safe.
 */
final class PoolDispatcher {
  private static final long ADJUSTMENT_INTERVAL_NANOS = 100_000_000;
  private static final long REFRESH_INTERVAL_NANOS = 5_000_000_000L;

  /** Time after shedding work during which less urgent tiers do not queue. */
  private static final long SHED_COOLDOWN_NANOS = 1_000_000_000;

  /**
   * Part of the time to the deadline that the estimated wait may use, as it is a rough estimate.
   */
  private static final double MAX_WAIT_FRACTION = 0.6;

  /** A longer queue of deferrable work would keep the engines busy long after a load peak. */
  private static final double MAX_WAIT_NANOS = 4e9;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  private static final double RETRY_JITTER_FRACTION = 0.25;
  private static final double DEMAND_DECAY = 0.995;

  /** Prefill is bursty, so long prompts need more engines than their share of the tokens. */
  private static final double LONG_PROMPT_ENGINES_PER_GUARANTEED_SHARE = 2;

  private final SchedulerOptions options;
  private final EnginePool enginePool;
  private final DecisionHandler decisions;
  private final Map<Tier, FairQueue<QueuedItem>> queues = new EnumMap<>(Tier.class);
  private final Map<Tier, TeamShares> teamShares = new EnumMap<>(Tier.class);
  private final Map<Tier, Long> lastShedNanos = new EnumMap<>(Tier.class);
  private final Map<Tier, Integer> runningByTier = new EnumMap<>(Tier.class);
  private final ArrayDeque<QueuedItem> isolatedQueue = new ArrayDeque<>();
  private final TierGuarantee tierGuarantee = new TierGuarantee();
  private final UrgentHeadroom urgentHeadroom = new UrgentHeadroom();
  private final SplittableRandom random;
  private final DrainRates drainRates;
  private String self = "";
  private double shortPrefillDemandTokens;
  private double longPrefillDemandTokens;
  private long lastAdjustmentNanos;
  private long lastRefreshNanos;
  private boolean dispatchNeeded;

  PoolDispatcher(
      SchedulerOptions options,
      EnginePool enginePool,
      DecisionHandler decisions,
      ToDoubleFunction<String> weights,
      long nowNanos) {
    this.options = options;
    this.enginePool = enginePool;
    this.decisions = decisions;
    this.random = new SplittableRandom(options.seed());
    this.drainRates = new DrainRates(nowNanos);
    this.lastAdjustmentNanos = nowNanos;
    this.lastRefreshNanos = nowNanos;
    for (Tier tier : Tier.values()) {
      queues.put(tier, new FairQueue<>(options.has(SchedulerFeature.FAIR_QUEUEING), weights));
      teamShares.put(tier, new TeamShares(weights));
      lastShedNanos.put(tier, Long.MIN_VALUE / 2);
      runningByTier.put(tier, 0);
    }
  }

  EnginePool enginePool() {
    return enginePool;
  }

  FairQueue<QueuedItem> queue(Tier tier) {
    return queues.get(tier);
  }

  void setSelf(String node) {
    self = node;
  }

  void applyBundle(Bundle bundle) {
    tierGuarantee.setShares(bundle);
    queues.values().forEach(FairQueue::refresh);
  }

  void updateUpstreams(Collection<UpstreamRecord> records, long nowNanos) {
    enginePool.update(records, nowNanos);
    dispatchNeeded = true;
  }

  /** Requests a dispatch attempt, since capacity may have become available. */
  void markDispatchNeeded() {
    dispatchNeeded = true;
  }

  /** Returns the tier in which a request is scheduled; without tiers, all are urgent. */
  Tier effectiveTier(QueuedItem queued) {
    return options.has(SchedulerFeature.TIERS) ? queued.tier() : Tier.URGENT;
  }

  /** Dispatches, queues or rejects a new request. */
  void submit(QueuedItem queued, long nowNanos) {
    Tier tier = effectiveTier(queued);
    if (enginePool.isEmpty()) {
      reject(queued, NotRunReason.NO_UPSTREAM, DEFAULT_RETRY_AFTER_MILLIS, "pool has no upstreams");
      return;
    }
    long earliestFirstTokenNanos = nowNanos + enginePool.minFirstTokenNanos(queued.item());
    boolean rejectEarly = options.has(SchedulerFeature.EARLY_REJECTION);
    if (rejectEarly && earliestFirstTokenNanos > queued.item().deadlineNanos()) {
      reject(
          queued,
          NotRunReason.DEADLINE,
          DEFAULT_RETRY_AFTER_MILLIS,
          "deadline cannot be met even without load");
      return;
    }
    recordArrival(queued, tier, nowNanos);
    queues.get(tier).add(queued, false);
    dispatchQueued(nowNanos);
    if (queued.isQueued()) {
      shedIfOverloaded(queued, tier, nowNanos);
    }
  }

  private void recordArrival(QueuedItem queued, Tier tier, long nowNanos) {
    tierGuarantee.recordArrival(tier, queued.costTokens(), nowNanos);
    teamShares.get(tier).recordArrival(queued.item().team(), nowNanos);
    if (tier == Tier.URGENT) {
      urgentHeadroom.recordArrival(nowNanos);
    }
  }

  private void shedIfOverloaded(QueuedItem queued, Tier tier, long nowNanos) {
    FairQueue<QueuedItem> queue = queues.get(tier);
    if (wasHigherTierShed(tier, nowNanos)) {
      queue.remove(queued);
      reject(
          queued,
          NotRunReason.OVERLOADED,
          retryAfterMillis(tier, nowNanos),
          "work of a more urgent tier is being shed");
      return;
    }
    boolean full =
        queue.size() > options.maxQueuedRequests()
            || queue.queuedTokens() > options.maxQueuedTokens();
    if (full) {
      evictLowerTiers(tier, nowNanos);
      shed(queue.evictionCandidate(), NotRunReason.OVERLOADED, "queue full", nowNanos);
    } else if (options.has(SchedulerFeature.EARLY_REJECTION)
        && wouldMissDeadline(queued, tier, nowNanos)) {
      evictLowerTiers(tier, nowNanos);
      shed(queued, NotRunReason.DEADLINE, "estimated wait is too long for the deadline", nowNanos);
    }
  }

  private boolean wasHigherTierShed(Tier tier, long nowNanos) {
    if (!options.has(SchedulerFeature.EVICTION)) {
      return false;
    }
    for (Tier other : Tier.values()) {
      if (tier.isLessUrgentThan(other)
          && nowNanos - lastShedNanos.get(other) < SHED_COOLDOWN_NANOS) {
        return true;
      }
    }
    return false;
  }

  private boolean wouldMissDeadline(QueuedItem queued, Tier tier, long nowNanos) {
    double tokensAhead = queues.get(tier).tokensAhead(queued.item().team());
    double waitNanos =
        drainRates.estimateWaitNanos(tier, tokensAhead, enginePool.estimatedTokensPerSecond());
    long slackNanos = queued.item().deadlineNanos() - nowNanos;
    double maxWaitNanos = Math.min(slackNanos * MAX_WAIT_FRACTION, MAX_WAIT_NANOS);
    return waitNanos + enginePool.minFirstTokenNanos(queued.item()) > maxWaitNanos;
  }

  private void evictLowerTiers(Tier tier, long nowNanos) {
    if (!options.has(SchedulerFeature.EVICTION)) {
      return;
    }
    for (Tier other : Tier.values()) {
      if (!other.isLessUrgentThan(tier)) {
        continue;
      }
      long retryAfterMillis = retryAfterMillis(other, nowNanos);
      for (QueuedItem queued : queues.get(other).items()) {
        queues.get(other).remove(queued);
        reject(queued, NotRunReason.EVICTED, retryAfterMillis, "evicted for more urgent work");
      }
    }
  }

  private void shed(QueuedItem queued, NotRunReason reason, String detail, long nowNanos) {
    Tier tier = effectiveTier(queued);
    FairQueue<QueuedItem> queue = queues.get(tier);
    boolean aboveShare = queue.isAboveShare(queued.item().team());
    queue.remove(queued);
    boolean mayHandOver =
        queued.tier() == Tier.URGENT
            && !queued.item().isHandedOver()
            && options.has(SchedulerFeature.HAND_OVER);
    if (mayHandOver && decisions.handOver(queued)) {
      return;
    }
    lastShedNanos.put(tier, nowNanos);
    reject(
        queued,
        aboveShare ? NotRunReason.TEAM_LIMIT : reason,
        retryAfterMillis(tier, nowNanos),
        detail);
  }

  private void reject(
      QueuedItem queued, NotRunReason reason, long retryAfterMillis, String detail) {
    decisions.reject(queued, reason, retryAfterMillis, detail);
  }

  /** Returns the estimated time to drain the queue of a tier, with jitter, as a retry delay. */
  long retryAfterMillis(Tier tier, long nowNanos) {
    double waitMillis =
        drainRates.estimateWaitNanos(
                tier, queues.get(tier).queuedTokens(), enginePool.estimatedTokensPerSecond())
            / NANOS_PER_MILLI;
    double baseMillis = waitMillis <= 0 ? DEFAULT_RETRY_AFTER_MILLIS : waitMillis;
    if (wasHigherTierShed(tier, nowNanos)) {
      baseMillis = Math.max(baseMillis, 2 * DEFAULT_RETRY_AFTER_MILLIS);
    }
    double jitteredMillis = baseMillis * (1 + RETRY_JITTER_FRACTION * random.nextDouble());
    return (long)
        Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, jitteredMillis));
  }

  /** Refunds a request that its upstream refused and requeues it at the front for its team. */
  void requeue(QueuedItem queued) {
    FairQueue<QueuedItem> queue = queues.get(effectiveTier(queued));
    queue.charge(queued.item().team(), -queued.costTokens());
    queue.add(queued, true);
    dispatchNeeded = true;
  }

  /** Queues a request with suspect content, to run alone on an upstream. */
  void submitIsolated(QueuedItem queued, long nowNanos) {
    queued.setQueued(true);
    isolatedQueue.add(queued);
    dispatchQueued(nowNanos);
  }

  /** Removes a queued request. */
  void remove(QueuedItem queued) {
    if (!isolatedQueue.remove(queued)) {
      queues.get(effectiveTier(queued)).remove(queued);
    }
    queued.setQueued(false);
  }

  /** Removes and returns all queued requests. */
  List<QueuedItem> removeAll() {
    List<QueuedItem> result = new ArrayList<>(isolatedQueue);
    queues.values().forEach(q -> result.addAll(q.items()));
    result.forEach(this::remove);
    return result;
  }

  /** Runs due periodic work and dispatches if needed; called after each event. */
  void advance(long nowNanos) {
    if (nowNanos - lastAdjustmentNanos >= ADJUSTMENT_INTERVAL_NANOS) {
      lastAdjustmentNanos = nowNanos;
      enginePool.adjustWindows(nowNanos);
      urgentHeadroom.recordLoad(
          runningByTier.get(Tier.URGENT), queues.get(Tier.URGENT).size(), nowNanos);
      drainRates.update(queues, nowNanos);
      rejectExpired(nowNanos);
      dispatchNeeded = true;
    }
    if (nowNanos - lastRefreshNanos >= REFRESH_INTERVAL_NANOS) {
      lastRefreshNanos = nowNanos;
      queues.values().forEach(FairQueue::refresh);
      teamShares.values().forEach(shares -> shares.refresh(nowNanos));
    }
    if (dispatchNeeded) {
      dispatchQueued(nowNanos);
    }
  }

  private void rejectExpired(long nowNanos) {
    queues.forEach(
        (tier, queue) -> {
          for (QueuedItem queued : queue.removeExpired(nowNanos)) {
            evictLowerTiers(tier, nowNanos);
            lastShedNanos.put(tier, nowNanos);
            long retryAfterMillis = retryAfterMillis(tier, nowNanos);
            reject(queued, NotRunReason.DEADLINE, retryAfterMillis, "deadline passed while queued");
          }
        });
    for (Iterator<QueuedItem> i = isolatedQueue.iterator(); i.hasNext(); ) {
      QueuedItem queued = i.next();
      if (queued.item().deadlineNanos() < nowNanos) {
        i.remove();
        queued.setQueued(false);
        reject(
            queued,
            NotRunReason.DEADLINE,
            DEFAULT_RETRY_AFTER_MILLIS,
            "deadline passed while suspect content waited for an idle upstream");
      }
    }
  }

  private void dispatchQueued(long nowNanos) {
    dispatchNeeded = false;
    dispatchIsolated(nowNanos);
    EnumSet<Tier> blocked = EnumSet.noneOf(Tier.class);
    boolean progress = true;
    while (progress) {
      progress = dispatchGuaranteed(blocked, nowNanos);
    }
    blocked.clear();
    int freeSlots = enginePool.freeSlots();
    while (freeSlots > 0 && dispatchNext(freeSlots, blocked, nowNanos)) {
      freeSlots = enginePool.freeSlots();
    }
  }

  private void dispatchIsolated(long nowNanos) {
    if (isolatedQueue.isEmpty()) {
      enginePool.releaseUnusedReservations();
      return;
    }
    EngineState engine = enginePool.selectForSuspect(self);
    while (engine != null && !isolatedQueue.isEmpty()) {
      QueuedItem queued = isolatedQueue.remove();
      queued.setQueued(false);
      engine.setRunningSuspect(true);
      double prefillTokens = queued.item().promptTokens();
      EnginePool.Placement placement = new EnginePool.Placement(engine, 1, 0, 0, 0);
      startRequest(
          queued,
          placement,
          prefillTokens,
          true,
          "suspect content isolated on an idle upstream",
          nowNanos);
      engine = isolatedQueue.isEmpty() ? null : enginePool.selectForSuspect(self);
    }
  }

  private boolean dispatchGuaranteed(EnumSet<Tier> blocked, long nowNanos) {
    for (Tier tier : Tier.values()) {
      if (tier != Tier.URGENT
          && options.has(SchedulerFeature.GUARANTEED_SHARES)
          && isNextGuaranteed(tier, nowNanos)
          && dispatchFrom(tier, true, blocked, nowNanos)) {
        return true;
      }
    }
    return false;
  }

  private boolean isNextGuaranteed(Tier tier, long nowNanos) {
    FairQueue<QueuedItem> queue = queues.get(tier);
    if (queue.isEmpty() || (isUncontended(tier) && !wasHigherTierShed(tier, nowNanos))) {
      return false;
    }
    String team = queue.peek(queue.isSecondLaneNext()).item().team();
    return tierGuarantee.isWithinGuarantee(
        tier, teamShares.get(tier).isUnderserved(team, nowNanos));
  }

  private boolean dispatchNext(int freeSlots, EnumSet<Tier> blocked, long nowNanos) {
    for (Tier tier : Tier.values()) {
      if (freeSlots > reservedSlots(tier, freeSlots, nowNanos)
          && dispatchFrom(tier, false, blocked, nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of free slots that a tier must leave to other tiers. */
  private double reservedSlots(Tier tier, int freeSlots, long nowNanos) {
    double result = 0;
    if (options.has(SchedulerFeature.GUARANTEED_SHARES)) {
      for (Tier other : Tier.values()) {
        if (other.isLessUrgentThan(tier) && queues.get(other).isEmpty()) {
          result += tierGuarantee.reservedSlots(other, nowNanos);
        }
      }
    }
    int totalSlots = freeSlots + runningByTier.values().stream().mapToInt(n -> n).sum();
    result = Math.min(result, Math.max(1, totalSlots / 10));
    if (tier != Tier.URGENT && options.has(SchedulerFeature.URGENT_HEADROOM)) {
      result += urgentHeadroom.reservedSlots(totalSlots, runningByTier.get(Tier.URGENT), nowNanos);
    }
    return result;
  }

  private boolean dispatchFrom(
      Tier tier, boolean guaranteed, EnumSet<Tier> blocked, long nowNanos) {
    FairQueue<QueuedItem> queue = queues.get(tier);
    if (queue.isEmpty() || blocked.contains(tier)) {
      return false;
    }
    boolean longPrefillNext = queue.isSecondLaneNext();
    if (dispatchHead(queue, longPrefillNext, guaranteed, nowNanos)
        || dispatchHead(queue, !longPrefillNext, guaranteed, nowNanos)) {
      return true;
    }
    blocked.add(tier);
    return false;
  }

  private boolean dispatchHead(
      FairQueue<QueuedItem> queue, boolean longPrefill, boolean guaranteed, long nowNanos) {
    QueuedItem queued = queue.peek(longPrefill);
    EnginePool.Placement placement =
        queued == null ? null : enginePool.choose(queued, guaranteed, nowNanos);
    if (placement == null) {
      return false;
    }
    double prefillTokens = queued.item().promptTokens() - placement.cachedTokens();
    long firstTokenNanos =
        nowNanos + (long) placement.engine().window().firstTokenNanos(prefillTokens);
    if (options.has(SchedulerFeature.EARLY_REJECTION)
        && firstTokenNanos > queued.item().deadlineNanos()) {
      evictLowerTiers(effectiveTier(queued), nowNanos);
      shed(queued, NotRunReason.DEADLINE, "first token would miss the deadline", nowNanos);
      return true;
    }
    queue.removeDispatched(queued);
    startRequest(
        queued,
        placement,
        prefillTokens,
        false,
        guaranteed ? "guaranteed share" : "selected by cached prefix and load",
        nowNanos);
    return true;
  }

  private void startRequest(
      QueuedItem queued,
      EnginePool.Placement placement,
      double prefillTokens,
      boolean isolated,
      String detail,
      long nowNanos) {
    Tier tier = effectiveTier(queued);
    EngineState engine = placement.engine();
    engine.window().dispatched(prefillTokens, queued.costTokens(), queued.expectedOutputTokens());
    engine.runningKeys().add(queued.item().key());
    if (queued.isLongPrefill()) {
      enginePool.adjustLongPrefills(engine, 1);
    }
    if (options.has(SchedulerFeature.PREFIX_PLACEMENT)) {
      enginePool.prefixIndex().recordStored(engine.name(), queued.item().prefixBlocks());
    }
    recordPrefillDemand(queued);
    runningByTier.merge(tier, 1, Integer::sum);
    if (isUncontended(tier)) {
      tierGuarantee.clearDebt();
    }
    tierGuarantee.charge(tier, queued.costTokens());
    teamShares.get(tier).recordService(queued.item().team(), queued.costTokens(), nowNanos);
    drainRates.recordDispatch(tier, queued.costTokens(), !queues.get(tier).isEmpty());
    decisions.dispatch(
        new RunningRequest(queued, engine, this, prefillTokens, nowNanos, isolated),
        placement,
        detail);
  }

  private boolean isUncontended(Tier tier) {
    for (Tier other : Tier.values()) {
      if (tier.isLessUrgentThan(other) && !queues.get(other).isEmpty()) {
        return false;
      }
    }
    return tier != Tier.URGENT || queues.get(tier).isEmpty();
  }

  /** Updates the prefill demand from dispatches, since rejected requests need no engines. */
  private void recordPrefillDemand(QueuedItem queued) {
    shortPrefillDemandTokens *= DEMAND_DECAY;
    longPrefillDemandTokens *= DEMAND_DECAY;
    if (queued.isLongPrefill()) {
      longPrefillDemandTokens += queued.item().promptTokens();
    } else {
      shortPrefillDemandTokens += queued.item().promptTokens();
    }
    double totalTokens = shortPrefillDemandTokens + longPrefillDemandTokens;
    enginePool.setShortPrefillFraction(
        totalTokens <= 0 ? 1 : shortPrefillDemandTokens / totalTokens);
    if (queued.isLongPrefill()) {
      enginePool.setMinLongPromptEngineFraction(
          LONG_PROMPT_ENGINES_PER_GUARANTEED_SHARE * tierGuarantee.share(effectiveTier(queued)));
    }
  }

  /** Records output tokens of a running request. */
  void recordTokens(RunningRequest request, int tokens, long nowNanos) {
    boolean first = !request.isDecoding();
    long elapsedNanos = request.recordTokens(tokens, nowNanos);
    if (first) {
      request
          .engine()
          .window()
          .firstToken(
              request.prefillTokens(),
              request.pendingPrefillTokensAtDispatch(),
              elapsedNanos,
              nowNanos);
      if (request.queued().isLongPrefill()) {
        enginePool.adjustLongPrefills(request.engine(), -1);
      }
      dispatchNeeded = true;
    } else {
      request.engine().window().tokensProduced(tokens, elapsedNanos, nowNanos);
    }
  }

  /** Charges a team and its tier for output beyond the estimate; a negative amount is a refund. */
  void charge(RunningRequest request, double tokens) {
    queues.get(effectiveTier(request.queued())).charge(request.item().team(), tokens);
    tierGuarantee.charge(effectiveTier(request.queued()), tokens);
    request.addCharge(tokens);
  }

  /** Records the end of a running request and releases its slot. */
  void recordEnd(RunningRequest request) {
    EngineState engine = request.engine();
    boolean decoding = request.isDecoding();
    engine
        .window()
        .ended(
            decoding ? 0 : request.prefillTokens(),
            request.contextTokens(),
            request.remainingOutputTokens(),
            decoding);
    engine.runningKeys().remove(request.item().key());
    if (request.queued().isLongPrefill() && !decoding) {
      enginePool.adjustLongPrefills(engine, -1);
    }
    if (request.isIsolated()) {
      engine.setRunningSuspect(false);
    }
    runningByTier.merge(effectiveTier(request.queued()), -1, Integer::sum);
    dispatchNeeded = true;
  }

  /** Returns the cost of urgent work that could be dispatched now, in tokens. */
  long roomTokens() {
    return queues.get(Tier.URGENT).isEmpty()
        ? Math.round(enginePool.freeSlots() * tierGuarantee.meanCostTokens(Tier.URGENT))
        : 0;
  }
}
