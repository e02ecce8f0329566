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
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Queues, admission and dispatch of the requests of one pool.
 *
 * <p>Not thread-safe.
 */
final class PoolDispatcher {
  private static final long ADJUST_INTERVAL_NANOS = 100_000_000;
  private static final long REFRESH_INTERVAL_NANOS = 5_000_000_000L;

  /** While urgent work was shed within this time, lower tiers do not queue. */
  private static final long SHED_MEMORY_NANOS = 1_000_000_000;

  /** Part of the time to the deadline that the estimated wait may take; the estimate is rough. */
  private static final double MAX_WAIT_FRACTION = 0.6;

  /** A longer queue of deferrable work would keep the engines full for long after a flood. */
  private static final double MAX_WAIT_NANOS = 4e9;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_RETRY_MILLIS = 200;
  private static final long MAX_RETRY_MILLIS = 30_000;
  private static final long DEFAULT_RETRY_MILLIS = 1_000;

  private static final double RETRY_JITTER = 0.25;
  private static final double DEMAND_DECAY = 0.995;

  /** Prefill comes in bursts, so long work needs more engines than its share of the tokens. */
  private static final double LONG_PER_GUARANTEE = 2;

  private final SchedulerOptions options;
  private final EnginePool engines;
  private final PolicyOutput output;
  private final Map<Tier, FairQueue> queues = new EnumMap<>(Tier.class);
  private final Map<Tier, TeamShares> teamShares = new EnumMap<>(Tier.class);
  private final Map<Tier, Long> lastShedNanos = new EnumMap<>(Tier.class);
  private final Map<Tier, Integer> running = new EnumMap<>(Tier.class);
  private final ArrayDeque<QueuedItem> isolated = new ArrayDeque<>();
  private final TierGuarantee guarantee = new TierGuarantee();
  private final UrgentHeadroom headroom = new UrgentHeadroom();
  private final SplittableRandom random;
  private final DrainRates rates;
  private String self = "";
  private double shortDemand;
  private double longDemand;
  private long lastAdjustNanos;
  private long lastRefreshNanos;
  private boolean changed;

  PoolDispatcher(
      SchedulerOptions options,
      EnginePool engines,
      PolicyOutput output,
      ToDoubleFunction<String> weights,
      long nowNanos) {
    this.options = options;
    this.engines = engines;
    this.output = output;
    this.random = new SplittableRandom(options.seed());
    this.rates = new DrainRates(nowNanos);
    this.lastAdjustNanos = nowNanos;
    this.lastRefreshNanos = nowNanos;
    for (Tier tier : Tier.values()) {
      queues.put(tier, new FairQueue(options.has(SchedulerFeature.FAIR_QUEUEING), weights));
      teamShares.put(tier, new TeamShares(weights));
      lastShedNanos.put(tier, Long.MIN_VALUE / 2);
      running.put(tier, 0);
    }
  }

  EnginePool engines() {
    return engines;
  }

  FairQueue queue(Tier tier) {
    return queues.get(tier);
  }

  void setSelf(String node) {
    self = node;
  }

  void bundle(Bundle bundle) {
    guarantee.shares(bundle);
    queues.values().forEach(FairQueue::refresh);
  }

  void upstreams(Collection<UpstreamRecord> records, long nowNanos) {
    engines.update(records, nowNanos);
    changed = true;
  }

  /** Marks that there may be room for queued work. */
  void markChanged() {
    changed = true;
  }

  /** Returns the tier as which a request is treated. */
  Tier tier(QueuedItem queued) {
    return options.has(SchedulerFeature.TIERS) ? queued.tier() : Tier.URGENT;
  }

  /** Admits, dispatches or rejects a request that arrived. */
  void submit(QueuedItem queued, long nowNanos) {
    Tier tier = tier(queued);
    if (engines.isEmpty()) {
      reject(queued, NotRunReason.NO_UPSTREAM, DEFAULT_RETRY_MILLIS, "pool without upstreams");
      return;
    }
    long feasible = nowNanos + engines.leastFirstTokenNanos(queued.item());
    boolean early = options.has(SchedulerFeature.EARLY_REJECTION);
    if (early && feasible > queued.item().deadlineNanos()) {
      reject(queued, NotRunReason.DEADLINE, DEFAULT_RETRY_MILLIS, "infeasible without load");
      return;
    }
    noteArrival(queued, tier, nowNanos);
    queues.get(tier).add(queued, false);
    dispatch(nowNanos);
    if (queued.isQueued()) {
      admit(queued, tier, nowNanos);
    }
  }

  private void noteArrival(QueuedItem queued, Tier tier, long nowNanos) {
    guarantee.arrived(tier, queued.cost(), nowNanos);
    teamShares.get(tier).arrived(queued.item().team(), nowNanos);
    if (tier == Tier.URGENT) {
      headroom.arrived(nowNanos);
    }
  }

  private void admit(QueuedItem queued, Tier tier, long nowNanos) {
    FairQueue queue = queues.get(tier);
    if (wasMoreUrgentShed(tier, nowNanos)) {
      queue.remove(queued);
      reject(
          queued,
          NotRunReason.OVERLOADED,
          retryMillis(tier, nowNanos),
          "urgent work is being shed");
      return;
    }
    boolean full = queue.size() > options.queueRequests() || queue.cost() > options.queueTokens();
    if (full) {
      evictLower(tier, nowNanos);
      shed(queue.evictionCandidate(), NotRunReason.OVERLOADED, "queue full", nowNanos);
    } else if (options.has(SchedulerFeature.EARLY_REJECTION) && isTooLate(queued, tier, nowNanos)) {
      evictLower(tier, nowNanos);
      shed(queued, NotRunReason.DEADLINE, "queue too long for the deadline", nowNanos);
    }
  }

  private boolean wasMoreUrgentShed(Tier tier, long nowNanos) {
    if (!options.has(SchedulerFeature.EVICTION)) {
      return false;
    }
    for (Tier other : Tier.values()) {
      if (tier.isLessUrgentThan(other) && nowNanos - lastShedNanos.get(other) < SHED_MEMORY_NANOS) {
        return true;
      }
    }
    return false;
  }

  private boolean isTooLate(QueuedItem queued, Tier tier, long nowNanos) {
    double ahead = queues.get(tier).costAhead(queued.item().team());
    double wait = rates.waitNanos(tier, ahead, engines.assumedRate());
    long slack = queued.item().deadlineNanos() - nowNanos;
    double limit = Math.min(slack * MAX_WAIT_FRACTION, MAX_WAIT_NANOS);
    return wait + engines.leastFirstTokenNanos(queued.item()) > limit;
  }

  private void evictLower(Tier tier, long nowNanos) {
    if (!options.has(SchedulerFeature.EVICTION)) {
      return;
    }
    for (Tier other : Tier.values()) {
      if (!other.isLessUrgentThan(tier)) {
        continue;
      }
      long retry = retryMillis(other, nowNanos);
      for (QueuedItem queued : queues.get(other).all()) {
        queues.get(other).remove(queued);
        reject(queued, NotRunReason.EVICTED, retry, "evicted for more urgent work");
      }
    }
  }

  private void shed(QueuedItem queued, NotRunReason reason, String detail, long nowNanos) {
    Tier tier = tier(queued);
    FairQueue queue = queues.get(tier);
    boolean aboveShare = queue.isAboveShare(queued.item().team());
    queue.remove(queued);
    boolean mayHandOver =
        queued.tier() == Tier.URGENT
            && !queued.item().isHandedOver()
            && options.has(SchedulerFeature.HAND_OVER);
    if (mayHandOver && output.handOver(queued)) {
      return;
    }
    lastShedNanos.put(tier, nowNanos);
    reject(
        queued, aboveShare ? NotRunReason.TEAM_LIMIT : reason, retryMillis(tier, nowNanos), detail);
  }

  private void reject(QueuedItem queued, NotRunReason reason, long retryMillis, String detail) {
    output.reject(queued, reason, retryMillis, detail);
  }

  /** Returns when the present queue of a tier will have drained, with jitter. */
  long retryMillis(Tier tier, long nowNanos) {
    double wait =
        rates.waitNanos(tier, queues.get(tier).cost(), engines.assumedRate()) / NANOS_PER_MILLI;
    double base = wait <= 0 ? DEFAULT_RETRY_MILLIS : wait;
    if (wasMoreUrgentShed(tier, nowNanos)) {
      base = Math.max(base, 2 * DEFAULT_RETRY_MILLIS);
    }
    double jittered = base * (1 + RETRY_JITTER * random.nextDouble());
    return (long) Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, jittered));
  }

  /** Puts a refused request back at the front of its team's queue. */
  void requeue(QueuedItem queued) {
    FairQueue queue = queues.get(tier(queued));
    queue.charge(queued.item().team(), -queued.cost());
    queue.add(queued, true);
    changed = true;
  }

  /** Queues a suspect for an upstream of its own. */
  void submitIsolated(QueuedItem queued, long nowNanos) {
    queued.setQueued(true);
    isolated.add(queued);
    dispatch(nowNanos);
  }

  /** Removes a queued request. */
  void remove(QueuedItem queued) {
    if (!isolated.remove(queued)) {
      queues.get(tier(queued)).remove(queued);
    }
    queued.setQueued(false);
  }

  /** Removes and returns everything that is queued. */
  List<QueuedItem> removeAll() {
    List<QueuedItem> result = new ArrayList<>(isolated);
    queues.values().forEach(q -> result.addAll(q.all()));
    result.forEach(this::remove);
    return result;
  }

  /** Does what is due after any event. */
  void run(long nowNanos) {
    if (nowNanos - lastAdjustNanos >= ADJUST_INTERVAL_NANOS) {
      lastAdjustNanos = nowNanos;
      engines.adjust(nowNanos);
      headroom.update(running.get(Tier.URGENT), queues.get(Tier.URGENT).size(), nowNanos);
      rates.update(queues, nowNanos);
      expire(nowNanos);
      changed = true;
    }
    if (nowNanos - lastRefreshNanos >= REFRESH_INTERVAL_NANOS) {
      lastRefreshNanos = nowNanos;
      queues.values().forEach(FairQueue::refresh);
      teamShares.values().forEach(shares -> shares.refresh(nowNanos));
    }
    if (changed) {
      dispatch(nowNanos);
    }
  }

  private void expire(long nowNanos) {
    queues.forEach(
        (tier, queue) -> {
          for (QueuedItem queued : queue.removeExpired(nowNanos)) {
            evictLower(tier, nowNanos);
            lastShedNanos.put(tier, nowNanos);
            long retry = retryMillis(tier, nowNanos);
            reject(queued, NotRunReason.DEADLINE, retry, "deadline passed in the queue");
          }
        });
    for (Iterator<QueuedItem> i = isolated.iterator(); i.hasNext(); ) {
      QueuedItem queued = i.next();
      if (queued.item().deadlineNanos() < nowNanos) {
        i.remove();
        queued.setQueued(false);
        reject(
            queued, NotRunReason.DEADLINE, DEFAULT_RETRY_MILLIS, "no upstream free for a suspect");
      }
    }
  }

  private void dispatch(long nowNanos) {
    changed = false;
    dispatchIsolated(nowNanos);
    EnumSet<Tier> blocked = EnumSet.noneOf(Tier.class);
    boolean progress = true;
    while (progress) {
      progress = dispatchEntitled(blocked, nowNanos);
    }
    blocked.clear();
    int free = engines.freeSlots();
    while (free > 0 && dispatchOne(free, blocked, nowNanos)) {
      free = engines.freeSlots();
    }
  }

  private void dispatchIsolated(long nowNanos) {
    if (isolated.isEmpty()) {
      engines.releaseEmptied();
      return;
    }
    EngineState engine = engines.isolated(self);
    while (engine != null && !isolated.isEmpty()) {
      QueuedItem queued = isolated.remove();
      queued.setQueued(false);
      engine.setRunningSuspect(true);
      double prefill = queued.item().promptTokens();
      EnginePool.Choice choice = new EnginePool.Choice(engine, 1, 0, 0, 0);
      start(queued, choice, prefill, true, "suspect, alone on its upstream", nowNanos);
      engine = isolated.isEmpty() ? null : engines.isolated(self);
    }
  }

  private boolean dispatchEntitled(EnumSet<Tier> blocked, long nowNanos) {
    for (Tier tier : Tier.values()) {
      if (tier != Tier.URGENT
          && options.has(SchedulerFeature.GUARANTEED_SHARES)
          && isNextEntitled(tier, nowNanos)
          && dispatchFrom(tier, true, blocked, nowNanos)) {
        return true;
      }
    }
    return false;
  }

  private boolean isNextEntitled(Tier tier, long nowNanos) {
    FairQueue queue = queues.get(tier);
    if (queue.isEmpty() || (isUncontended(tier) && !wasMoreUrgentShed(tier, nowNanos))) {
      return false;
    }
    String team = queue.peek(queue.isLongFirst()).item().team();
    return guarantee.isEntitled(tier, teamShares.get(tier).isBehind(team, nowNanos));
  }

  private boolean dispatchOne(int free, EnumSet<Tier> blocked, long nowNanos) {
    for (Tier tier : Tier.values()) {
      if (free > keptFree(tier, free, nowNanos) && dispatchFrom(tier, false, blocked, nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the slots that a tier must leave to others. */
  private double keptFree(Tier tier, int free, long nowNanos) {
    double result = 0;
    if (options.has(SchedulerFeature.GUARANTEED_SHARES)) {
      for (Tier other : Tier.values()) {
        if (other.isLessUrgentThan(tier) && queues.get(other).isEmpty()) {
          result += guarantee.heldSlots(other, nowNanos);
        }
      }
    }
    int total = free + running.values().stream().mapToInt(n -> n).sum();
    result = Math.min(result, Math.max(1, total / 10));
    if (tier != Tier.URGENT && options.has(SchedulerFeature.URGENT_HEADROOM)) {
      result += headroom.slots(total, running.get(Tier.URGENT), nowNanos);
    }
    return result;
  }

  private boolean dispatchFrom(Tier tier, boolean entitled, EnumSet<Tier> blocked, long nowNanos) {
    FairQueue queue = queues.get(tier);
    if (queue.isEmpty() || blocked.contains(tier)) {
      return false;
    }
    boolean longFirst = queue.isLongFirst();
    if (dispatchHead(queue, longFirst, entitled, nowNanos)
        || dispatchHead(queue, !longFirst, entitled, nowNanos)) {
      return true;
    }
    blocked.add(tier);
    return false;
  }

  private boolean dispatchHead(
      FairQueue queue, boolean longPrefill, boolean entitled, long nowNanos) {
    QueuedItem queued = queue.peek(longPrefill);
    EnginePool.Choice choice = queued == null ? null : engines.choose(queued, entitled, nowNanos);
    if (choice == null) {
      return false;
    }
    double prefill = queued.item().promptTokens() - choice.cachedTokens();
    long first = nowNanos + (long) choice.engine().window().firstTokenNanos(prefill);
    if (options.has(SchedulerFeature.EARLY_REJECTION) && first > queued.item().deadlineNanos()) {
      evictLower(tier(queued), nowNanos);
      shed(queued, NotRunReason.DEADLINE, "first token would be late", nowNanos);
      return true;
    }
    queue.dispatched(queued);
    start(queued, choice, prefill, false, entitled ? "guaranteed share" : "least work", nowNanos);
    return true;
  }

  private void start(
      QueuedItem queued,
      EnginePool.Choice choice,
      double prefill,
      boolean alone,
      String detail,
      long nowNanos) {
    Tier tier = tier(queued);
    EngineState engine = choice.engine();
    engine.window().dispatched(prefill, queued.cost(), queued.outputTokens());
    engine.running().add(queued.item().key());
    if (queued.isLongPrefill()) {
      engines.addLongPrefill(engine, 1);
    }
    if (options.has(SchedulerFeature.PREFIX_PLACEMENT)) {
      engines.prefixes().recordStored(engine.name(), queued.item().prefixBlocks());
    }
    noteDemand(queued);
    running.merge(tier, 1, Integer::sum);
    if (isUncontended(tier)) {
      guarantee.forgive();
    }
    guarantee.dispatched(tier, queued.cost());
    teamShares.get(tier).served(queued.item().team(), queued.cost(), nowNanos);
    rates.dispatched(tier, queued.cost(), !queues.get(tier).isEmpty());
    output.dispatch(
        new RunningRequest(queued, engine, this, prefill, nowNanos, alone), choice, detail);
  }

  private boolean isUncontended(Tier tier) {
    for (Tier other : Tier.values()) {
      if (tier.isLessUrgentThan(other) && !queues.get(other).isEmpty()) {
        return false;
      }
    }
    return tier != Tier.URGENT || queues.get(tier).isEmpty();
  }

  /** Measures demand by dispatches, since a flood that is rejected needs no engines. */
  private void noteDemand(QueuedItem queued) {
    shortDemand *= DEMAND_DECAY;
    longDemand *= DEMAND_DECAY;
    if (queued.isLongPrefill()) {
      longDemand += queued.item().promptTokens();
    } else {
      shortDemand += queued.item().promptTokens();
    }
    double all = shortDemand + longDemand;
    engines.setShortFraction(all <= 0 ? 1 : shortDemand / all);
    if (queued.isLongPrefill()) {
      engines.setMinLongFraction(LONG_PER_GUARANTEE * guarantee.share(tier(queued)));
    }
  }

  /** Notes output of a running request. */
  void produced(RunningRequest request, int tokens, long nowNanos) {
    boolean first = !request.isDecoding();
    long elapsed = request.produce(tokens, nowNanos);
    if (first) {
      request
          .engine()
          .window()
          .firstToken(request.prefillTokens(), request.pendingAtDispatch(), elapsed, nowNanos);
      if (request.queued().isLongPrefill()) {
        engines.addLongPrefill(request.engine(), -1);
      }
      changed = true;
    } else {
      request.engine().window().tokensProduced(tokens, elapsed, nowNanos);
    }
  }

  /** Corrects what a running or finished request was charged. */
  void charge(RunningRequest request, double tokens) {
    queues.get(tier(request.queued())).charge(request.item().team(), tokens);
    guarantee.dispatched(tier(request.queued()), tokens);
    request.addCharge(tokens);
  }

  /** Notes the end of a running request. */
  void ended(RunningRequest request) {
    EngineState engine = request.engine();
    boolean decoding = request.isDecoding();
    engine
        .window()
        .ended(
            decoding ? 0 : request.prefillTokens(),
            request.contextTokens(),
            request.remainingOutput(),
            decoding);
    engine.running().remove(request.item().key());
    if (request.queued().isLongPrefill() && !decoding) {
      engines.addLongPrefill(engine, -1);
    }
    if (request.isIsolated()) {
      engine.setRunningSuspect(false);
    }
    running.merge(tier(request.queued()), -1, Integer::sum);
    changed = true;
  }

  /** Returns the cost of urgent work that could be started now, in tokens. */
  long roomTokens() {
    return queues.get(Tier.URGENT).isEmpty()
        ? Math.round(engines.freeSlots() * guarantee.meanCost(Tier.URGENT))
        : 0;
  }
}
