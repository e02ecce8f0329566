package org.cranberrystand.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
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

  /** Longer than any interval at which a node may send requests to a limited upstream. */
  private static final long MAX_SEND_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(20);

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
  private final CallQueue waiting = new CallQueue();
  private final Map<String, Long> pausedUntilNanos = new HashMap<>();

  /** When requests were sent to incarnations that are not usable at the moment. */
  private final Map<String, Long> sentNanosOfUnusable = new HashMap<>();

  private final SendRate sendRate = new SendRate();
  private final PoolReach reach = new PoolReach();
  private final PlacementHold hold;
  private int preferredCount;
  private String ownDomain = "";
  private long overloadedUntilNanos = Long.MIN_VALUE;

  /**
   * Creates a pool without upstreams.
   *
   * @param output receives the decisions
   * @param started called with every request before it is sent
   * @param random chooses among upstreams of about equal cost
   * @param hold says whether requests may be sent now
   */
  PoolScheduler(
      DispatchOutput output,
      Consumer<RunningCall> started,
      SplittableRandom random,
      PlacementHold hold) {
    this.output = output;
    this.started = started;
    this.random = random;
    this.hold = hold;
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
        Long sentNanos = sentNanosOfUnusable.remove(upstream.incarnationKey());
        if (sentNanos != null) {
          state.sentEarlier(sentNanos);
        }
      }
      state.setUpstream(upstream);
      upstreams.put(upstream.id(), state);
    }
    old.keySet().forEach(ejections::forget);
    for (UpstreamState state : old.values()) {
      String incarnation = state.upstream().incarnationKey();
      state.lastSentNanos().ifPresent(sent -> sentNanosOfUnusable.put(incarnation, sent));
    }
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

  /** Records how long work currently takes on the VM of an upstream. */
  void speedReported(RegisteredUpstream upstream, ReportedSpeed speed, long nowNanos) {
    UpstreamState state = upstreams.get(upstream.id());
    if (state != null && state.upstream().isSameIncarnation(upstream) && speed.isValid()) {
      state.speedReported(speed, nowNanos);
    }
  }

  /** Sets the failure domain to prefer among upstreams of about equal cost; empty for none. */
  void setOwnDomain(String domain) {
    ownDomain = domain;
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
    return ProbeSelection.take(reach, upstreams.values(), running, random, nowNanos);
  }

  /** Queues a request that certainly has not run. */
  void submit(CallSpec call, String excludedUpstream, long nowNanos) {
    boolean late = nowNanos > latestStartNanos(call);
    if (call.hasTeam()) {
      waiting.arrived(call, nowNanos);
    }
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
    waiting.add(entry);
    dispatchWaiting(nowNanos);
    if (!waiting.contains(call.key()) || hold.isHeld(nowNanos)) {
      return;
    }
    if (entry.sharesFairly()) {
      refuseHopeless(entry, nowNanos);
      refuseHopeless(waiting.lastOfLargestBacklog(entry), nowNanos);
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

  /** Refuses a queued request of a team beyond its share if its turn would come too late. */
  private void refuseHopeless(WaitingCall entry, long nowNanos) {
    if (entry == null
        || !waiting.contains(entry.call().key())
        || waiting.isWithinShare(entry.call(), nowNanos)) {
      return;
    }
    double startNanos =
        Math.max(
            nowNanos + waiting.teamWaitNanos(entry, sendRate.perSecond(nowNanos), nowNanos),
            (double) nextOpeningNanos(entry.call(), nowNanos));
    if (startNanos > entry.latestWaitNanos()) {
      waiting.remove(entry.call().key());
      refuse(entry.call(), NotRunReason.OVERLOADED, nowNanos);
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
    return !hold.isHeld(nowNanos)
        && free.stream()
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
        new HedgeTarget(
            chosen.upstream(), placementChoice(chosen, call, 0, candidates.size(), nowNanos)));
  }

  private List<UpstreamState> freeUpstreams(long nowNanos) {
    return upstreams.values().stream().filter(state -> state.freeSlots(nowNanos) > 0).toList();
  }

  boolean remove(long key) {
    return waiting.remove(key);
  }

  int slots() {
    return upstreams.values().stream().mapToInt(state -> state.upstream().slots()).sum();
  }

  /**
   * Refuses the waiting requests that the pool cannot serve in time after it lost upstreams. They
   * would otherwise wait until their time is over.
   *
   * @param remainingFraction the slots of the pool as a fraction of those before the loss
   * @param nowNanos the current time
   */
  void refuseUnservable(double remainingFraction, long nowNanos) {
    double perSecond = sendRate.perSecond(nowNanos) * remainingFraction;
    int ahead = 0;
    for (WaitingCall entry : waiting.all()) {
      CallSpec call = entry.call();
      if (!waiting.contains(call.key())) {
        // The output may have cancelled or sent other requests during a refusal.
        continue;
      }
      boolean accepted = accepted(call).findAny().isPresent();
      double startNanos =
          Math.max(
              nowNanos + (ahead + 1) / perSecond * 1e9, (double) nextOpeningNanos(call, nowNanos));
      if (accepted && startNanos <= entry.latestWaitNanos()) {
        ahead++;
      } else {
        remove(call.key());
        refuse(call, accepted ? NotRunReason.OVERLOADED : NotRunReason.NO_UPSTREAM, nowNanos);
      }
    }
  }

  /** Sends as many waiting requests as there are free slots, in queue order. */
  void dispatchWaiting(long nowNanos) {
    if (hold.isHeld(nowNanos)) {
      return;
    }
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
    return waiting.findFirst(
        entry -> {
          UpstreamState cacheHolder = findCacheHolder(entry, free);
          List<UpstreamState> candidates =
              free.stream().filter(state -> mayUse(entry, state, cacheHolder, nowNanos)).toList();
          return candidates.isEmpty()
              ? null
              : new PlacementOptions(entry.call(), cacheHolder, candidates);
        });
  }

  /** Returns the waiting requests and the recent load of their teams. */
  CallQueue queue() {
    return waiting;
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
    if (nowNanos >= call.deadlineNanos()) {
      remove(call.key());
      refuse(call, NotRunReason.DEADLINE, nowNanos);
      return;
    }
    UpstreamState chosen = chooseUpstream(options, nowNanos);
    int cachedTokens = chosen == options.cacheHolder() ? call.prefixTokens() : 0;
    PlacementChoice choice =
        placementChoice(chosen, call, cachedTokens, options.candidates().size(), nowNanos);
    waiting.removeSent(call.key(), nowNanos);
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
    boolean slowdowns = false;
    for (int i = 0; i < costs.length; i++) {
      UpstreamState state = candidates.get(i);
      slowdowns |= state.slowdown(nowNanos) > 1;
      costs[i] =
          state == cacheHolder
              ? PlacementCost.nanos(state, call, call.prefixTokens(), nowNanos)
              : PlacementCost.nanos(state, call, 0, nowNanos)
                  * (isNonPreferred(state) ? NON_PREFERRED_COST_FACTOR : 1);
    }
    return PlacementTies.choose(candidates, costs, cacheHolder, ownDomain, slowdowns, random);
  }

  private static PlacementChoice placementChoice(
      UpstreamState chosen, CallSpec call, int cachedTokens, int candidates, long nowNanos) {
    return new PlacementChoice(
        chosen.totalRunning(),
        chosen.upstream().slots(),
        chosen.totalPrefillTokens(),
        cachedTokens,
        chosen.expectedFirstResponseNanos(call, cachedTokens, nowNanos) / NANOS_PER_MILLI,
        chosen.eventIntervalNanos() / NANOS_PER_MILLI,
        candidates);
  }

  private long latestStartNanos(CallSpec call) {
    return call.targetNanos()
        - (long) PlacementCost.leastFirstResponseNanos(upstreams.values(), call);
  }

  private static long latestWaitNanos(CallSpec call) {
    double byDeadline = (call.deadlineNanos() - call.arrivalNanos()) * MAX_WAIT_FRACTION;
    double byFirstEventWait = call.maxFirstEventWaitNanos() * MAX_FIRST_EVENT_WAIT_FRACTION;
    return call.arrivalNanos() + (long) Math.min(byDeadline, byFirstEventWait);
  }

  private double expectedWaitNanos(WaitingCall entry, long nowNanos) {
    return waiting.orderedPosition(entry) / sendRate.perSecond(nowNanos) * 1e9;
  }

  private void refuse(CallSpec call, NotRunReason reason, long nowNanos) {
    overloadedUntilNanos = nowNanos + OVERLOAD_NANOS;
    long openingNanos = nextOpeningNanos(call, nowNanos);
    output.refuse(
        call,
        reason,
        RetryTime.millis(
            call.deadlineNanos() - nowNanos,
            openingNanos == Long.MAX_VALUE ? 0 : openingNanos - nowNanos,
            random.nextDouble()));
  }

  void tick(Collection<RunningCall> running, long nowNanos) {
    for (UpstreamState state : upstreams.values()) {
      state.setAdmittedFraction(ejections.admittedFraction(state.upstream().id(), nowNanos));
    }
    for (RunningCall call : running) {
      if (call.isStalled(nowNanos)) {
        call.state().unreachable(nowNanos);
      }
    }
    pausedUntilNanos.values().removeIf(until -> nowNanos >= until);
    sentNanosOfUnusable.values().removeIf(sent -> nowNanos - sent >= MAX_SEND_INTERVAL_NANOS);
    waiting.update(upstreams.values(), nowNanos);
    refuseOverdue(nowNanos);
    dispatchWaiting(nowNanos);
  }

  private void refuseOverdue(long nowNanos) {
    for (WaitingCall entry : waiting.ordered()) {
      CallSpec call = entry.call();
      if (!waiting.contains(call.key())) {
        // The output may have cancelled or sent other requests during a refusal.
        continue;
      }
      if (nowNanos > entry.latestWaitNanos()) {
        remove(call.key());
        refuse(call, NotRunReason.OVERLOADED, nowNanos);
      } else if (!entry.isLate() && nowNanos > latestStartNanos(call)) {
        waiting.remove(call.key());
        waiting.add(entry.asLate());
      }
    }
    CallSpec overdue;
    while ((overdue = waiting.takeOverdue(nowNanos)) != null) {
      refuse(overdue, NotRunReason.OVERLOADED, nowNanos);
    }
    waiting.moveLate(call -> nowNanos > latestStartNanos(call));
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
        state.answered(nowNanos - running.sentNanos(), nowNanos);
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
