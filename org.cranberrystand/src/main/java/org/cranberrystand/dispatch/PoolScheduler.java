package org.cranberrystand.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.EjectionPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Queues the requests of one pool and places them on its upstreams.
 *
 * <p>During bursts beyond the slots of the pool, requests wait on the node, where they are ordered
 * by priority. At an upstream they would be served in order of arrival. Not thread-safe.
 */
final class PoolScheduler {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Fraction of the time until its deadline that a request may wait before it is refused. */
  private static final double MAX_WAIT_FRACTION = 0.3;

  /** Fraction of the caller's wait for the first event that a request may spend in the queue. */
  private static final double MAX_FIRST_EVENT_WAIT_FRACTION = 0.5;

  /** Cost of a second of streaming relative to a second of waiting for the first event. */
  private static final double STREAM_TIME_WEIGHT = 0.03;

  /** Gaps vary around their mean, so a mean above this fraction of the target is often late. */
  private static final double GAP_TARGET_FRACTION = 0.7;

  /** Assumed slowdown of a cold upstream; its registration gives only the duration. */
  private static final double COLD_COST_FACTOR = 2;

  /** Upstreams within this factor of the lowest cost are tied; nodes must not all choose one. */
  private static final double TIE_COST_FACTOR = 1.1;

  /**
   * Usage by other cells is reported later than usage by the own cell. A slot that is left free and
   * a higher cost at the upstreams of other cells compensate for this delay.
   */
  private static final int NON_PREFERRED_RESERVED_SLOTS = 1;

  private static final double NON_PREFERRED_COST_FACTOR = 1.5;

  /** A cell with fewer preferred upstreams treats all upstreams of the pool alike. */
  private static final int MIN_PREFERRED_UPSTREAMS = 2;

  /** Computing a shorter prefix again costs less than placement at a busier upstream. */
  private static final int MIN_PREFIX_TOKENS = 200;

  /** Silence after which a streaming upstream counts as stalled; many times the gap target. */
  private static final long STREAM_STALL_NANOS = 900_000_000L;

  /**
   * A refused caller is told to retry after a random fraction of its remaining time. Callers retry
   * once, so an early retry would still meet the burst, and retries must not arrive together.
   */
  private static final double MIN_RETRY_FRACTION = 0.15;

  private static final double MAX_RETRY_FRACTION = 0.32;

  private static final long MIN_RETRY_MILLIS = 150;

  /** How long a pool counts as overloaded after a request was refused; several reports. */
  private static final long OVERLOAD_NANOS = 2_000_000_000L;

  /**
   * The upstreams that a request may be sent to now. {@code cacheHolder} is the upstream that
   * caches the prefix of the prompt; null if there is none, otherwise one of the candidates.
   */
  private record PlacementOptions(
      CallSpec call, UpstreamState cacheHolder, List<UpstreamState> candidates) {}

  private final DispatchOutput output;
  private final Consumer<RunningCall> started;
  private final SplittableRandom random;
  private final EjectionPolicy ejections;
  private final Map<String, UpstreamState> upstreams = new LinkedHashMap<>();
  private final TreeSet<WaitingCall> waiting = new TreeSet<>(WaitingCall.ORDER);
  private final Map<Long, WaitingCall> waitingByKey = new HashMap<>();
  private final Map<String, Long> pausedUntilNanos = new HashMap<>();
  private final SendRate sendRate = new SendRate();
  private final PoolReach reach = new PoolReach();
  private int preferredCount;
  private long overloadedUntilNanos = Long.MIN_VALUE;

  /**
   * Creates a pool without upstreams.
   *
   * @param output receives the decisions
   * @param started called with every request before it is sent
   * @param random chooses among upstreams of about equal cost
   */
  PoolScheduler(DispatchOutput output, Consumer<RunningCall> started, SplittableRandom random) {
    this.output = output;
    this.started = started;
    this.random = random;
    this.ejections = new EjectionPolicy(random.nextLong());
  }

  UpstreamState find(String id) {
    return upstreams.get(id);
  }

  Collection<UpstreamState> upstreams() {
    return upstreams.values();
  }

  int waitingCount() {
    return waiting.size();
  }

  void updateUpstreams(Collection<RegisteredUpstream> registered, long nowNanos) {
    Map<String, UpstreamState> old = new HashMap<>(upstreams);
    upstreams.clear();
    for (RegisteredUpstream upstream : registered) {
      UpstreamState state = old.remove(upstream.id());
      if (state == null || !state.upstream().isSameIncarnation(upstream)) {
        ejections.forget(upstream.id());
        state = new UpstreamState(upstream, nowNanos);
        Long pausedUntil = pausedUntilNanos.get(upstream.incarnationKey());
        if (pausedUntil != null) {
          state.pauseUntil(pausedUntil);
        }
      }
      state.setUpstream(upstream);
      upstreams.put(upstream.id(), state);
    }
    old.keySet().forEach(ejections::forget);
    assumeAverageSpeeds();
  }

  private void assumeAverageSpeeds() {
    List<UpstreamState> measured =
        upstreams.values().stream().filter(UpstreamState::isMeasured).toList();
    if (measured.isEmpty()) {
      return;
    }
    double prefill =
        measured.stream().mapToDouble(UpstreamState::prefillNanosPerToken).average().orElseThrow();
    double service =
        measured.stream().mapToDouble(UpstreamState::serviceNanos).average().orElseThrow();
    double eventInterval =
        measured.stream().mapToDouble(UpstreamState::eventIntervalNanos).average().orElseThrow();
    upstreams.values().forEach(state -> state.assumeSpeeds(prefill, service, eventInterval));
  }

  /** Records that an upstream wants no requests from this node for some time. */
  void pauseRequested(RegisteredUpstream upstream, PauseRequest pause, long nowNanos) {
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pause.millis());
    pausedUntilNanos.merge(upstream.incarnationKey(), untilNanos, Math::max);
    UpstreamState state = upstreams.get(upstream.id());
    if (state != null && state.upstream().isSameIncarnation(upstream)) {
      state.pauseUntil(untilNanos);
    }
  }

  /** Records whether a connection to an upstream could be opened. */
  void connectEnded(String upstream, boolean connected, long nowNanos) {
    if (connected) {
      if (reach.connected()) {
        // The failures were those of the links of this node.
        upstreams.values().forEach(UpstreamState::reachable);
        upstreams.keySet().forEach(ejections::forget);
      }
    } else if (upstreams.containsKey(upstream)) {
      reach.connectFailed(upstream, upstreams.size(), nowNanos);
    }
  }

  boolean isUnreachable() {
    return reach.isUnreachable();
  }

  /** Returns the upstreams to which to open a connection, to find out whether it can be opened. */
  List<RegisteredUpstream> takeProbes(Collection<RunningCall> running, long nowNanos) {
    int count = reach.takeProbes(silentNanos(running, nowNanos), nowNanos);
    if (count == 0) {
      return List.of();
    }
    List<RegisteredUpstream> candidates =
        new ArrayList<>(upstreams.values().stream().map(UpstreamState::upstream).toList());
    Collections.shuffle(candidates, new Random(random.nextLong()));
    candidates.sort(Comparator.comparing(candidate -> reach.hasFailed(candidate.id())));
    return candidates.subList(0, Math.min(count, candidates.size()));
  }

  private long silentNanos(Collection<RunningCall> running, long nowNanos) {
    if (running.isEmpty()) {
      return 0;
    }
    long silentNanos =
        running.stream().mapToLong(call -> nowNanos - call.sentNanos()).max().orElseThrow();
    for (UpstreamState state : upstreams.values()) {
      silentNanos = Math.min(silentNanos, state.silentNanos(nowNanos));
    }
    return silentNanos;
  }

  /** Queues a request that certainly has not run. */
  void submit(CallSpec call, String excludedUpstream, long nowNanos) {
    boolean late = nowNanos > latestStartNanos(call);
    submit(new WaitingCall(call, excludedUpstream, false, latestWaitNanos(call), late), nowNanos);
  }

  /**
   * Queues a request again that may have run. It can no longer be refused truthfully as not run, so
   * it goes first and waits as long as its caller probably does.
   */
  void resubmit(CallSpec call, String excludedUpstream, long nowNanos) {
    long remainingNanos = Math.min(call.maxFirstEventWaitNanos(), call.deadlineNanos() - nowNanos);
    long latestWait = nowNanos + (long) (remainingNanos * MAX_FIRST_EVENT_WAIT_FRACTION);
    submit(new WaitingCall(call, excludedUpstream, true, latestWait, true), nowNanos);
  }

  private void submit(WaitingCall entry, long nowNanos) {
    CallSpec call = entry.call();
    if (accepted(call).findAny().isEmpty()) {
      refuse(call, NotRunReason.NO_UPSTREAM, nowNanos);
      return;
    }
    add(entry);
    dispatchWaiting(nowNanos);
    if (!waitingByKey.containsKey(call.key())) {
      return;
    }
    double startNanos =
        Math.max(
            nowNanos + expectedWaitNanos(entry, nowNanos),
            (double) nextOpeningNanos(call, nowNanos));
    if (startNanos > entry.latestWaitNanos()) {
      remove(call.key());
      refuse(call, NotRunReason.OVERLOADED, nowNanos);
    }
  }

  private Stream<UpstreamState> accepted(CallSpec call) {
    return upstreams.values().stream().filter(state -> call.accepts(state.upstream()));
  }

  /**
   * Returns when this node may send a request to the first upstream, if all of them asked for a
   * pause or limit their rate; {@link Long#MAX_VALUE} if only other nodes may.
   */
  private long nextOpeningNanos(CallSpec call, long nowNanos) {
    return accepted(call)
        .mapToLong(state -> Math.max(nowNanos, state.closedUntilNanos()))
        .min()
        .orElse(nowNanos);
  }

  /** Returns whether a slot is free that no request waits for. */
  boolean hasSpareCapacity(long nowNanos) {
    return waiting.isEmpty()
        && upstreams.values().stream().anyMatch(state -> state.freeSlots(nowNanos) > 0);
  }

  /** Returns whether a request could be sent to another upstream at once. */
  boolean canMove(CallSpec call, String fromUpstream, long nowNanos) {
    WaitingCall entry = new WaitingCall(call, fromUpstream, true, call.deadlineNanos(), true);
    List<UpstreamState> free = freeUpstreams(nowNanos);
    UpstreamState cacheHolder = findCacheHolder(entry, free);
    return free.stream()
        .anyMatch(
            state ->
                !state.upstream().id().equals(fromUpstream)
                    && mayUse(entry, state, cacheHolder, nowNanos));
  }

  /** Returns where to send a hedge; empty if it could delay or displace another request. */
  Optional<HedgeTarget> findHedgeTarget(CallSpec call, RegisteredUpstream first, long nowNanos) {
    if (!waiting.isEmpty() || nowNanos < overloadedUntilNanos) {
      return Optional.empty();
    }
    WaitingCall entry = new WaitingCall(call, first.id(), true, call.deadlineNanos(), true);
    List<UpstreamState> candidates =
        upstreams.values().stream()
            .filter(state -> state.acceptsHedges(nowNanos))
            .filter(state -> !state.upstream().failureDomain().equals(first.failureDomain()))
            .filter(state -> mayUse(entry, state, null, nowNanos))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    UpstreamState chosen = chooseUpstream(new PlacementOptions(call, null, candidates), nowNanos);
    return Optional.of(
        new HedgeTarget(chosen.upstream(), placementChoice(chosen, call, 0, candidates.size())));
  }

  private List<UpstreamState> freeUpstreams(long nowNanos) {
    return upstreams.values().stream().filter(state -> state.freeSlots(nowNanos) > 0).toList();
  }

  boolean remove(long key) {
    WaitingCall entry = waitingByKey.remove(key);
    return entry != null && waiting.remove(entry);
  }

  private void add(WaitingCall entry) {
    waiting.add(entry);
    waitingByKey.put(entry.call().key(), entry);
  }

  /** Sends as many waiting requests as there are free slots, in queue order. */
  void dispatchWaiting(long nowNanos) {
    while (!waiting.isEmpty()) {
      PlacementOptions options = nextPlaceable(freeUpstreams(nowNanos), nowNanos);
      if (options == null) {
        return;
      }
      place(options, nowNanos);
    }
  }

  /**
   * Returns the first request in the queue that can be sent, or null if there is none. A request
   * that excludes the only free upstream must not block the requests behind it.
   */
  private PlacementOptions nextPlaceable(List<UpstreamState> free, long nowNanos) {
    if (free.isEmpty()) {
      return null;
    }
    for (WaitingCall entry : waiting) {
      UpstreamState cacheHolder = findCacheHolder(entry, free);
      List<UpstreamState> candidates =
          free.stream().filter(state -> mayUse(entry, state, cacheHolder, nowNanos)).toList();
      if (!candidates.isEmpty()) {
        return new PlacementOptions(entry.call(), cacheHolder, candidates);
      }
    }
    return null;
  }

  private boolean mayUse(
      WaitingCall entry, UpstreamState state, UpstreamState cacheHolder, long now) {
    boolean reserved = isNonPreferred(state) && state != cacheHolder;
    return !isExcluded(entry, state)
        && (!reserved || state.freeSlots(now) > NON_PREFERRED_RESERVED_SLOTS);
  }

  private boolean isExcluded(WaitingCall entry, UpstreamState state) {
    CallSpec call = entry.call();
    return !call.accepts(state.upstream())
        || (state.upstream().id().equals(entry.excludedUpstream())
            && accepted(call).anyMatch(other -> other != state));
  }

  /** Returns the free upstream whose cache holds the prompt prefix; null if there is none. */
  private UpstreamState findCacheHolder(WaitingCall entry, List<UpstreamState> free) {
    CallSpec call = entry.call();
    if (call.prefixTokens() < MIN_PREFIX_TOKENS) {
      return null;
    }
    return free.stream()
        .filter(state -> !isExcluded(entry, state))
        .max(Comparator.comparingLong(state -> state.prefixAffinity(call.prefixKey())))
        .orElse(null);
  }

  private void place(PlacementOptions options, long nowNanos) {
    CallSpec call = options.call();
    UpstreamState chosen = chooseUpstream(options, nowNanos);
    int cachedTokens = chosen == options.cacheHolder() ? call.prefixTokens() : 0;
    PlacementChoice choice =
        placementChoice(chosen, call, cachedTokens, options.candidates().size());
    remove(call.key());
    chosen.sent((long) call.promptTokens() - cachedTokens, nowNanos);
    sendRate.sent(nowNanos);
    started.accept(new RunningCall(call, chosen, cachedTokens, nowNanos));
    output.send(call, chosen.upstream(), choice);
  }

  private boolean isNonPreferred(UpstreamState state) {
    return preferredCount >= MIN_PREFERRED_UPSTREAMS && !state.isPreferred();
  }

  /** Sets the shortest interval between two requests of this node to each upstream. */
  void setMinSendIntervals(ToLongFunction<RegisteredUpstream> intervalNanos) {
    upstreams
        .values()
        .forEach(state -> state.setMinSendInterval(intervalNanos.applyAsLong(state.upstream())));
  }

  /** Sets how many slots of each upstream this node may use at a time. */
  void setSlotShares(ToIntFunction<RegisteredUpstream> shares) {
    upstreams.values().forEach(state -> state.setSlotShare(shares.applyAsInt(state.upstream())));
  }

  /** Returns whether the slots of an upstream of the pool are divided among nodes. */
  boolean isDivided() {
    return upstreams.values().stream().anyMatch(UpstreamState::isDivided);
  }

  /** Returns whether all upstreams of the pool are left to other nodes. */
  boolean isLeftToOthers() {
    return !upstreams.isEmpty() && upstreams.values().stream().noneMatch(UpstreamState::isUsable);
  }

  /** Sets the upstreams that the cell of this node prefers. */
  void setPreferredUpstreams(Predicate<String> isPreferred) {
    preferredCount = 0;
    for (UpstreamState state : upstreams.values()) {
      state.setPreferred(isPreferred.test(state.upstream().id()));
      preferredCount += state.isPreferred() ? 1 : 0;
    }
  }

  /**
   * Chooses the cache holder if its cost is about the lowest, otherwise a random candidate of about
   * the lowest cost, so that nodes do not all choose the same upstream.
   */
  private UpstreamState chooseUpstream(PlacementOptions options, long nowNanos) {
    List<UpstreamState> candidates = options.candidates();
    UpstreamState cacheHolder = options.cacheHolder();
    CallSpec call = options.call();
    double[] costs = new double[candidates.size()];
    double least = Double.MAX_VALUE;
    for (int i = 0; i < costs.length; i++) {
      UpstreamState state = candidates.get(i);
      costs[i] =
          state == cacheHolder
              ? placementCost(state, call, call.prefixTokens(), nowNanos)
              : placementCost(state, call, 0, nowNanos)
                  * (isNonPreferred(state) ? NON_PREFERRED_COST_FACTOR : 1);
      least = Math.min(least, costs[i]);
    }
    List<UpstreamState> ties = new ArrayList<>();
    for (int i = 0; i < costs.length; i++) {
      if (costs[i] <= least * TIE_COST_FACTOR) {
        ties.add(candidates.get(i));
      }
    }
    return ties.contains(cacheHolder) ? cacheHolder : ties.get(random.nextInt(ties.size()));
  }

  private static PlacementChoice placementChoice(
      UpstreamState chosen, CallSpec call, int cachedTokens, int candidates) {
    return new PlacementChoice(
        chosen.totalRunning(),
        chosen.upstream().slots(),
        chosen.totalPrefillTokens(),
        cachedTokens,
        chosen.expectedFirstResponseNanos(call, cachedTokens) / NANOS_PER_MILLI,
        chosen.eventIntervalNanos() / NANOS_PER_MILLI,
        candidates);
  }

  /**
   * Returns the expected delay of the response in nanoseconds, increased by the load of the
   * upstream, which slows all its tokens, by the length of the stream, and if the stream would miss
   * its gap target or its deadline. Cached prefill counts twice, because the other requests at the
   * upstream gain the time too.
   */
  private static double placementCost(
      UpstreamState state, CallSpec call, int cachedTokens, long nowNanos) {
    double load = (double) state.totalRunning() / Math.max(1, state.upstream().slots());
    double coldFactor = state.isCold(nowNanos) ? COLD_COST_FACTOR : 1;
    double firstResponseNanos =
        state.expectedFirstResponseNanos(call, cachedTokens) * (1 + load) * coldFactor;
    if (!call.isStreaming()) {
      return firstResponseNanos;
    }
    double streamNanos = call.expectedEvents() * state.eventIntervalNanos();
    double overrunNanos =
        Math.max(0, nowNanos + firstResponseNanos + streamNanos - call.deadlineNanos());
    boolean exceedsGapTarget =
        call.gapTargetNanos() > 0
            && state.eventIntervalNanos() > GAP_TARGET_FRACTION * call.gapTargetNanos();
    double gapPenaltyNanos = exceedsGapTarget ? call.targetNanos() - call.arrivalNanos() : 0;
    double savedPrefillNanos = cachedTokens * state.prefillNanosPerToken();
    return Math.max(
        0,
        firstResponseNanos
            + STREAM_TIME_WEIGHT * streamNanos
            + overrunNanos
            + gapPenaltyNanos
            - savedPrefillNanos);
  }

  private double minFirstResponseNanos(CallSpec call) {
    double least = Double.MAX_VALUE;
    for (UpstreamState state : upstreams.values()) {
      least =
          Math.min(
              least,
              call.isStreaming()
                  ? UpstreamState.FIRST_EVENT_BASE_NANOS
                      + call.promptTokens() * state.prefillNanosPerToken()
                  : state.serviceNanos());
    }
    return least;
  }

  private long latestStartNanos(CallSpec call) {
    return call.targetNanos() - (long) minFirstResponseNanos(call);
  }

  private static long latestWaitNanos(CallSpec call) {
    double byDeadline = (call.deadlineNanos() - call.arrivalNanos()) * MAX_WAIT_FRACTION;
    double byFirstEventWait = call.maxFirstEventWaitNanos() * MAX_FIRST_EVENT_WAIT_FRACTION;
    return call.arrivalNanos() + (long) Math.min(byDeadline, byFirstEventWait);
  }

  private double expectedWaitNanos(WaitingCall entry, long nowNanos) {
    int ahead = waiting.headSet(entry).size() + 1;
    return ahead / sendRate.perSecond(nowNanos) * 1e9;
  }

  private void refuse(CallSpec call, NotRunReason reason, long nowNanos) {
    overloadedUntilNanos = nowNanos + OVERLOAD_NANOS;
    double remainingMillis = (call.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    double fraction =
        MIN_RETRY_FRACTION + (MAX_RETRY_FRACTION - MIN_RETRY_FRACTION) * random.nextDouble();
    long opening = nextOpeningNanos(call, nowNanos);
    double closedMillis = opening == Long.MAX_VALUE ? 0 : (opening - nowNanos) / NANOS_PER_MILLI;
    double retryMillis = Math.max(remainingMillis * fraction, closedMillis);
    output.refuse(call, reason, (long) Math.max(MIN_RETRY_MILLIS, retryMillis));
  }

  void tick(Collection<RunningCall> running, long nowNanos) {
    for (UpstreamState state : upstreams.values()) {
      state.setAdmittedFraction(ejections.admittedFraction(state.upstream().id(), nowNanos));
    }
    for (RunningCall call : running) {
      boolean stalled =
          call.isDecoding()
              && nowNanos - Math.max(call.firstEventNanos(), call.state().lastReceivedNanos())
                  > STREAM_STALL_NANOS;
      if (stalled) {
        call.state().unreachable(nowNanos);
      }
    }
    pausedUntilNanos.values().removeIf(until -> nowNanos >= until);
    refuseOverdue(nowNanos);
    dispatchWaiting(nowNanos);
  }

  private void refuseOverdue(long nowNanos) {
    for (WaitingCall entry : List.copyOf(waiting)) {
      CallSpec call = entry.call();
      if (!waiting.contains(entry)) {
        // The output may have cancelled or sent other requests during a refusal.
        continue;
      }
      if (nowNanos > entry.latestWaitNanos()) {
        remove(call.key());
        refuse(call, NotRunReason.OVERLOADED, nowNanos);
      } else if (!entry.isLate() && nowNanos > latestStartNanos(call)) {
        remove(call.key());
        add(entry.asLate());
      }
    }
  }

  /** Records the end of a request at its upstream. */
  void ended(RunningCall running, CallEnding ending, long nowNanos) {
    UpstreamState state = running.state();
    state.ended(running.pendingPrefillTokens());
    String id = state.upstream().id();
    if (ending == CallEnding.NOT_RUN) {
      overloadedUntilNanos = nowNanos + OVERLOAD_NANOS;
    }
    if (ending == CallEnding.ANSWERED) {
      ejections.succeeded(id);
      running.reportEventInterval();
      if (!running.call().isStreaming()) {
        state.answered(nowNanos - running.sentNanos());
      }
    } else if (ending.isFailure()) {
      ejections.failed(id, upstreams.size(), nowNanos);
      if (!ending.isUpstreamReachable()) {
        state.unreachable(nowNanos);
      }
    }
    dispatchWaiting(nowNanos);
  }
}
