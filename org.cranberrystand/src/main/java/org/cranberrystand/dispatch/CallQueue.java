package org.cranberrystand.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cranberrystand.fairness.FairQueue;

/**
 * The requests of one pool that wait for a slot.
 *
 * <p>Requests without a team, those that may have run and those that continue a stream wait in the
 * order of {@link WaitingCall#ORDER}. The others wait in one fair queue for each priority, where
 * the capacity is shared among teams; requests of a team that can still be on time go before its
 * late ones. Not thread-safe.
 */
final class CallQueue {
  private static final Comparator<WaitingCall> TEAM_ORDER =
      Comparator.comparingLong((WaitingCall w) -> w.call().targetNanos())
          .thenComparingLong(w -> w.call().key());

  /** Interval at which teams without recent requests are forgotten. */
  private static final long REFRESH_NANOS = 1_000_000_000L;

  private final TreeSet<WaitingCall> ordered = new TreeSet<>(WaitingCall.ORDER);
  private final TreeMap<Integer, FairQueue<WaitingCall>> fairByPriority = new TreeMap<>();
  private final Map<Long, WaitingCall> byKey = new HashMap<>();
  private final Map<String, Double> weights = new HashMap<>();
  private final TeamLoad load = new TeamLoad();
  private final PoolOccupancy occupancy = new PoolOccupancy();
  private final List<WaitingCall> becameLate = new ArrayList<>();
  private long refreshedNanos;

  int size() {
    return byKey.size();
  }

  boolean isEmpty() {
    return byKey.isEmpty();
  }

  boolean contains(long key) {
    return byKey.containsKey(key);
  }

  /** Records that a request of a team arrived. */
  void arrived(CallSpec call, long nowNanos) {
    load.arrived(call, nowNanos);
  }

  void add(WaitingCall entry) {
    byKey.put(entry.call().key(), entry);
    if (entry.sharesFairly()) {
      weights.put(entry.team(), entry.call().teamWeight());
      fairQueue(entry).add(entry, false);
    } else {
      ordered.add(entry);
    }
  }

  /** Removes a request that is not sent; returns whether it was queued. */
  boolean remove(long key) {
    WaitingCall entry = byKey.remove(key);
    if (entry == null) {
      return false;
    }
    if (entry.sharesFairly()) {
      fairQueue(entry).remove(entry);
    } else {
      ordered.remove(entry);
    }
    return true;
  }

  /** Removes a request that is sent, and charges its cost to its team. */
  void removeSent(long key, long nowNanos) {
    WaitingCall entry = byKey.remove(key);
    if (entry.call().hasTeam()) {
      load.sent(entry.call(), nowNanos);
    }
    if (entry.sharesFairly()) {
      fairQueue(entry).removeDispatched(entry);
    } else {
      ordered.remove(entry);
    }
  }

  private FairQueue<WaitingCall> fairQueue(WaitingCall entry) {
    return fairByPriority.computeIfAbsent(
        entry.call().priority(),
        p -> FairQueue.ordered(team -> weights.getOrDefault(team, 1.0), TEAM_ORDER));
  }

  /**
   * Applies a function to the requests in the order of service, until it returns a result.
   *
   * @param function returns null to continue
   * @return the first result; null if there is none
   */
  <R> R findFirst(Function<WaitingCall, R> function) {
    if (fairByPriority.isEmpty()) {
      return findIn(ordered.iterator(), function);
    }
    for (WaitingCall entry : ordered) {
      if (!entry.goesFirst()) {
        break;
      }
      R result = function.apply(entry);
      if (result != null) {
        return result;
      }
    }
    R onTime = findByPriority(false, function);
    return onTime == null ? findByPriority(true, function) : onTime;
  }

  private static <R> R findIn(Iterator<WaitingCall> entries, Function<WaitingCall, R> function) {
    while (entries.hasNext()) {
      R result = function.apply(entries.next());
      if (result != null) {
        return result;
      }
    }
    return null;
  }

  /** Searches the requests that are on time, or those that are late, by priority. */
  private <R> R findByPriority(boolean late, Function<WaitingCall, R> function) {
    Iterator<WaitingCall> teamless =
        ordered.stream().filter(w -> !w.goesFirst() && w.isLate() == late).iterator();
    WaitingCall next = teamless.hasNext() ? teamless.next() : null;
    for (Map.Entry<Integer, FairQueue<WaitingCall>> level : fairByPriority.entrySet()) {
      FairQueue<WaitingCall> queue = level.getValue();
      WaitingCall head = queue.peek(late);
      if (head == null) {
        continue;
      }
      while (next != null && goesBefore(next, head)) {
        R result = function.apply(next);
        if (result != null) {
          return result;
        }
        next = teamless.hasNext() ? teamless.next() : null;
      }
      R result = findIn(queue, late, function);
      if (result != null) {
        return result;
      }
    }
    R result = next == null ? null : function.apply(next);
    return result == null ? findIn(teamless, function) : result;
  }

  /** Compares a request without a team with the next one of the teams. */
  private static boolean goesBefore(WaitingCall teamless, WaitingCall head) {
    int difference = Integer.compare(teamless.call().priority(), head.call().priority());
    return difference < 0
        || (difference == 0 && teamless.call().targetNanos() <= head.call().targetNanos());
  }

  /**
   * Searches one priority. A late request of a team that got less than the others goes before the
   * requests of those that are on time.
   */
  private static <R> R findIn(
      FairQueue<WaitingCall> queue, boolean late, Function<WaitingCall, R> function) {
    if (!late && queue.isSecondLaneNext()) {
      WaitingCall lateHead = queue.peek(true);
      R result = function.apply(lateHead);
      if (result != null) {
        return result;
      }
    }
    return queue.findFirst(late, function);
  }

  /** Returns all requests, by priority and target. */
  List<WaitingCall> all() {
    return byKey.values().stream().sorted(WaitingCall.ORDER).toList();
  }

  /** Returns the requests that wait outside the fair queues. */
  List<WaitingCall> ordered() {
    return ordered.isEmpty() ? List.of() : List.copyOf(ordered);
  }

  /** Returns the number of requests before one that is not in a fair queue, and itself. */
  int orderedPosition(WaitingCall entry) {
    int fairlyQueued = byKey.size() - ordered.size();
    return ordered.headSet(entry).size() + 1 + (entry.goesFirst() ? 0 : fairlyQueued);
  }

  /** Removes and returns a request of a team that has waited too long; null if there is none. */
  CallSpec takeOverdue(long nowNanos) {
    for (FairQueue<WaitingCall> queue : fairByPriority.values()) {
      WaitingCall first = queue.peekEarliestDeadline();
      if (first != null && nowNanos > first.latestWaitNanos()) {
        remove(first.call().key());
        return first.call();
      }
    }
    return null;
  }

  /** Moves the requests of teams that have become late behind those that have not. */
  void moveLate(Predicate<CallSpec> isLate) {
    for (FairQueue<WaitingCall> queue : fairByPriority.values()) {
      queue.collectHeads(false, entry -> isLate.test(entry.call()), becameLate);
    }
    for (WaitingCall entry : becameLate) {
      remove(entry.call().key());
      add(entry.asLate());
    }
    becameLate.clear();
  }

  /** Records what a team used at other nodes. */
  void usedElsewhere(String team, double tokens, long nowNanos) {
    load.usedElsewhere(team, tokens, nowNanos);
    fairByPriority.values().forEach(queue -> queue.chargeRemote(team, tokens));
  }

  /** Returns whether a request is of a team that wants no more than its share. */
  boolean isWithinShare(CallSpec call, long nowNanos) {
    return load.isWithinShare(call.team(), occupancy.fraction(), nowNanos);
  }

  TeamLoad load() {
    return load;
  }

  /** Estimates how long the last request of a team waits for its turn. */
  double teamWaitNanos(WaitingCall entry, double callsPerSecond, long nowNanos) {
    FairQueue<WaitingCall> queue = fairQueue(entry);
    double tokensPerSecond =
        load.tokensPerSecond(
            entry.call(), queue.waitingFraction(entry.team()), callsPerSecond, nowNanos);
    return queue.backlogTokens(entry.team()) / tokensPerSecond * 1e9;
  }

  /** Returns the last request of the team with the largest backlog for its weight. */
  WaitingCall lastOfLargestBacklog(WaitingCall entry) {
    return fairQueue(entry).evictionCandidate();
  }

  /** Applies the usage of the upstreams. */
  void update(Collection<UpstreamState> upstreams, long nowNanos) {
    occupancy.update(upstreams, nowNanos);
    refresh(nowNanos);
  }

  /** Forgets teams that no longer use the pool, at intervals. */
  private void refresh(long nowNanos) {
    if (fairByPriority.isEmpty() || nowNanos - refreshedNanos < REFRESH_NANOS) {
      return;
    }
    refreshedNanos = nowNanos;
    load.refresh(nowNanos);
    fairByPriority.values().forEach(FairQueue::refresh);
    fairByPriority.values().removeIf(queue -> queue.isEmpty() && queue.teamCount() == 0);
    weights
        .keySet()
        .removeIf(team -> fairByPriority.values().stream().noneMatch(q -> q.knows(team)));
  }
}
