package org.cranberrystand.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.EjectionPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Queue and placement for the upstreams of one pool.
 *
 * <p>Answers the load of bursts beyond the slots of the pool: requests wait on the node, where they
 * can be ordered, and not at an upstream, which serves in order of arrival. Not thread-safe.
 */
final class PoolDispatch {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Part of its time that a request may wait before it is refused. */
  private static final double MAX_WAIT_FRACTION = 0.3;

  /** Part of its caller's patience that a request may wait; the rest is for its first event. */
  private static final double MAX_PATIENCE_FRACTION = 0.5;

  /** What a second of a stream counts against a second of waiting for its first event. */
  private static final double STREAM_COST = 0.03;

  /** Pauses vary around their mean; an upstream above this part of the target is often late. */
  private static final double GAP_MARGIN = 0.7;

  /** How much slower a cold upstream is taken to be; the registration says only for how long. */
  private static final double COLD_FACTOR = 2;

  /** Upstreams within this factor of the best are equal; nodes must not all choose the same. */
  private static final double TIE_FACTOR = 1.1;

  /**
   * What other cells use of an upstream is known later than what the own cell uses. The slot that
   * is left free and the factor on the cost make up for it.
   */
  private static final int FOREIGN_RESERVE = 1;

  private static final double FOREIGN_FACTOR = 1.5;

  /** With fewer upstreams of its own, a cell uses all of the pool alike. */
  private static final int MIN_HOMES = 2;

  /** Shorter beginnings are read faster than a detour takes. */
  private static final int MIN_SHARED_TOKENS = 200;

  /** Silence of an upstream that streams, in nanoseconds: many times the target between events. */
  private static final long SILENCE_NANOS = 900_000_000L;

  /**
   * Refused callers return after a part of the time that they have left. They return once, so it is
   * of no use while the burst lasts, and they must not return together.
   */
  private static final double MIN_RETRY_PART = 0.15;

  private static final double MAX_RETRY_PART = 0.32;

  private static final long MIN_RETRY_MILLIS = 150;

  /** Where a request may go now; one of the candidates may be the reader of its beginning. */
  private record Options(CallSpec call, UpstreamState reader, List<UpstreamState> candidates) {}

  private final DispatchOutput output;
  private final Consumer<RunningCall> started;
  private final SplittableRandom random;
  private final EjectionPolicy ejections;
  private final Map<String, UpstreamState> upstreams = new LinkedHashMap<>();
  private final TreeSet<WaitingCall> waiting = new TreeSet<>(WaitingCall.ORDER);
  private final Map<Long, WaitingCall> waitingByKey = new HashMap<>();
  private final SendRate rate = new SendRate();
  private int homes;

  /**
   * Creates a pool without upstreams.
   *
   * @param output carries out the decisions
   * @param started told of every request before it is sent
   * @param random the source of the choice among equal upstreams
   */
  PoolDispatch(DispatchOutput output, Consumer<RunningCall> started, SplittableRandom random) {
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

  void update(Collection<RegisteredUpstream> registered, long nowNanos) {
    Map<String, UpstreamState> old = new HashMap<>(upstreams);
    upstreams.clear();
    for (RegisteredUpstream upstream : registered) {
      UpstreamState known = old.remove(upstream.id());
      if (known == null || !known.upstream().isSameLife(upstream)) {
        ejections.forget(upstream.id());
        known = new UpstreamState(upstream, nowNanos);
      }
      known.setUpstream(upstream);
      upstreams.put(upstream.id(), known);
    }
    old.keySet().forEach(ejections::forget);
    assumeSpeeds();
  }

  private void assumeSpeeds() {
    List<UpstreamState> measured =
        upstreams.values().stream().filter(UpstreamState::isMeasured).toList();
    if (measured.isEmpty()) {
      return;
    }
    double prefill =
        measured.stream().mapToDouble(UpstreamState::prefillNanosPerToken).average().orElseThrow();
    double service =
        measured.stream().mapToDouble(UpstreamState::serviceNanos).average().orElseThrow();
    double event = measured.stream().mapToDouble(UpstreamState::eventNanos).average().orElseThrow();
    upstreams.values().forEach(state -> state.assumeSpeeds(prefill, service, event));
  }

  void submit(CallSpec call, String excluded, long nowNanos) {
    if (upstreams.isEmpty()) {
      refuse(call, NotRunReason.NO_UPSTREAM, nowNanos);
      return;
    }
    WaitingCall entry = new WaitingCall(call, excluded, nowNanos > latestStartNanos(call));
    add(entry);
    pump(nowNanos);
    if (!waitingByKey.containsKey(call.key())) {
      return;
    }
    if (nowNanos + expectedWaitNanos(entry, nowNanos) > latestWaitNanos(call)) {
      remove(call.key());
      refuse(call, NotRunReason.OVERLOADED, nowNanos);
    }
  }

  boolean remove(long key) {
    WaitingCall entry = waitingByKey.remove(key);
    return entry != null && waiting.remove(entry);
  }

  private void add(WaitingCall entry) {
    waiting.add(entry);
    waitingByKey.put(entry.call().key(), entry);
  }

  /** Sends what can be sent, the most urgent first. */
  void pump(long nowNanos) {
    while (!waiting.isEmpty()) {
      List<UpstreamState> free =
          upstreams.values().stream().filter(state -> state.freeSlots(nowNanos) > 0).toList();
      Options options = firstWithOptions(free, nowNanos);
      if (options == null) {
        return;
      }
      place(options, nowNanos);
    }
  }

  /** A request that avoids an upstream must not hold up those behind it. */
  private Options firstWithOptions(List<UpstreamState> free, long nowNanos) {
    if (free.isEmpty()) {
      return null;
    }
    for (WaitingCall entry : waiting) {
      UpstreamState reader = reader(entry, free);
      List<UpstreamState> candidates =
          free.stream().filter(state -> mayUse(entry, state, reader, nowNanos)).toList();
      if (!candidates.isEmpty()) {
        return new Options(entry.call(), reader, candidates);
      }
    }
    return null;
  }

  private boolean mayUse(WaitingCall entry, UpstreamState state, UpstreamState reader, long now) {
    boolean reserved = isForeign(state) && state != reader;
    return !isExcluded(entry, state) && (!reserved || state.freeSlots(now) > FOREIGN_RESERVE);
  }

  private boolean isExcluded(WaitingCall entry, UpstreamState state) {
    return upstreams.size() > 1 && state.upstream().id().equals(entry.excluded());
  }

  /** Returns the upstream that reads the common beginning of a prompt; null if there is none. */
  private UpstreamState reader(WaitingCall entry, List<UpstreamState> free) {
    CallSpec call = entry.call();
    if (call.sharedTokens() < MIN_SHARED_TOKENS) {
      return null;
    }
    return free.stream()
        .filter(state -> !isExcluded(entry, state))
        .max(Comparator.comparingLong(state -> state.prefixRank(call.sharedKey())))
        .orElse(null);
  }

  private void place(Options options, long nowNanos) {
    CallSpec call = options.call();
    UpstreamState chosen = choose(options, nowNanos);
    int shared = chosen == options.reader() ? call.sharedTokens() : 0;
    PlacementChoice choice = choiceOf(chosen, call, shared, options.candidates().size());
    remove(call.key());
    chosen.sent((long) call.promptTokens() - shared);
    rate.sent(nowNanos);
    started.accept(new RunningCall(call, chosen, shared, nowNanos));
    output.send(call, chosen.upstream(), choice);
  }

  private boolean isForeign(UpstreamState state) {
    return homes >= MIN_HOMES && !state.isHome();
  }

  /** Sets which upstreams the cell of this node uses first. */
  void setHomes(Predicate<String> isHome) {
    homes = 0;
    for (UpstreamState state : upstreams.values()) {
      state.setHome(isHome.test(state.upstream().id()));
      homes += state.isHome() ? 1 : 0;
    }
  }

  /** Chooses one of those that cost about the least, so that nodes do not all choose the same. */
  private UpstreamState choose(Options options, long nowNanos) {
    List<UpstreamState> candidates = options.candidates();
    UpstreamState reader = options.reader();
    CallSpec call = options.call();
    double[] costs = new double[candidates.size()];
    double least = Double.MAX_VALUE;
    for (int i = 0; i < costs.length; i++) {
      UpstreamState state = candidates.get(i);
      costs[i] =
          state == reader
              ? cost(state, call, call.sharedTokens(), nowNanos)
              : cost(state, call, 0, nowNanos) * (isForeign(state) ? FOREIGN_FACTOR : 1);
      least = Math.min(least, costs[i]);
    }
    List<UpstreamState> ties = new ArrayList<>();
    for (int i = 0; i < costs.length; i++) {
      if (costs[i] <= least * TIE_FACTOR) {
        ties.add(candidates.get(i));
      }
    }
    return ties.contains(reader) ? reader : ties.get(random.nextInt(ties.size()));
  }

  private static PlacementChoice choiceOf(
      UpstreamState chosen, CallSpec call, int sharedTokens, int candidates) {
    return new PlacementChoice(
        chosen.totalRunning(),
        chosen.upstream().slots(),
        chosen.totalPrefillTokens(),
        sharedTokens,
        chosen.firstAnswerNanos(call, sharedTokens) / NANOS_PER_MILLI,
        candidates);
  }

  /**
   * Expected delay of the answer, raised with the load that slows all tokens of the upstream, with
   * the length of the stream, and where the stream would be late or not end in time. What need not
   * be read again counts twice: the requests beside it get the time too.
   */
  private static double cost(UpstreamState state, CallSpec call, int sharedTokens, long nowNanos) {
    double load = (double) state.totalRunning() / Math.max(1, state.upstream().slots());
    double cold = state.isCold(nowNanos) ? COLD_FACTOR : 1;
    double first = state.firstAnswerNanos(call, sharedTokens) * (1 + load) * cold;
    if (!call.isStreaming()) {
      return first;
    }
    double stream = call.outputEvents() * state.eventNanos();
    double overrun = Math.max(0, nowNanos + first + stream - call.deadlineNanos());
    boolean pauses =
        call.gapTargetNanos() > 0 && state.eventNanos() > GAP_MARGIN * call.gapTargetNanos();
    double late = pauses ? call.targetNanos() - call.arrivalNanos() : 0;
    double spared = sharedTokens * state.prefillNanosPerToken();
    return Math.max(0, first + STREAM_COST * stream + overrun + late - spared);
  }

  private double leastFirstAnswerNanos(CallSpec call) {
    double least = Double.MAX_VALUE;
    for (UpstreamState state : upstreams.values()) {
      least =
          Math.min(
              least,
              call.isStreaming()
                  ? UpstreamState.FIRST_EVENT_NANOS
                      + call.promptTokens() * state.prefillNanosPerToken()
                  : state.serviceNanos());
    }
    return least;
  }

  private long latestStartNanos(CallSpec call) {
    return call.targetNanos() - (long) leastFirstAnswerNanos(call);
  }

  private static long latestWaitNanos(CallSpec call) {
    double byDeadline = (call.deadlineNanos() - call.arrivalNanos()) * MAX_WAIT_FRACTION;
    double byPatience = call.patienceNanos() * MAX_PATIENCE_FRACTION;
    return call.arrivalNanos() + (long) Math.min(byDeadline, byPatience);
  }

  private double expectedWaitNanos(WaitingCall entry, long nowNanos) {
    int ahead = waiting.headSet(entry).size() + 1;
    return ahead / rate.perSecond(nowNanos) * 1e9;
  }

  private void refuse(CallSpec call, NotRunReason reason, long nowNanos) {
    double leftMillis = (call.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    double part = MIN_RETRY_PART + (MAX_RETRY_PART - MIN_RETRY_PART) * random.nextDouble();
    output.refuse(call, reason, (long) Math.max(MIN_RETRY_MILLIS, leftMillis * part));
  }

  void tick(Collection<RunningCall> running, long nowNanos) {
    for (UpstreamState state : upstreams.values()) {
      state.setAdmittedFraction(ejections.admittedFraction(state.upstream().id(), nowNanos));
    }
    for (RunningCall call : running) {
      boolean silent =
          call.isDecoding()
              && nowNanos - Math.max(call.firstEventNanos(), call.state().heardNanos())
                  > SILENCE_NANOS;
      if (silent) {
        call.state().unreachable(nowNanos);
      }
    }
    expire(nowNanos);
    pump(nowNanos);
  }

  private void expire(long nowNanos) {
    for (WaitingCall entry : List.copyOf(waiting)) {
      CallSpec call = entry.call();
      if (!waiting.contains(entry)) {
        // A refusal before this one has let others end or be sent.
        continue;
      }
      if (nowNanos > latestWaitNanos(call)) {
        remove(call.key());
        refuse(call, NotRunReason.OVERLOADED, nowNanos);
      } else if (!entry.isLate() && nowNanos > latestStartNanos(call)) {
        remove(call.key());
        add(entry.asLate());
      }
    }
  }

  /** Notes the end of a request at an upstream. */
  void ended(RunningCall running, CallEnding ending, long nowNanos) {
    UpstreamState state = running.state();
    state.ended(running.tokensToRead());
    String id = state.upstream().id();
    if (ending == CallEnding.ANSWERED) {
      ejections.succeeded(id);
      running.reportPace();
      if (!running.call().isStreaming()) {
        state.answered(nowNanos - running.sentNanos());
      }
    } else if (ending.isFailure()) {
      ejections.failed(id, upstreams.size(), nowNanos);
      if (!ending.showsUpstreamAlive()) {
        state.unreachable(nowNanos);
      }
    }
    pump(nowNanos);
  }
}
