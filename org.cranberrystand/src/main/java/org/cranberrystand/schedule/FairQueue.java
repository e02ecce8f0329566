package org.cranberrystand.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * Weighted fair queue of one tier of one pool; teams are served by token cost.
 *
 * <p>Uses start-time fair queueing: the virtual time of a team grows by the cost of its requests
 * divided by its weight, and the team with the smallest virtual time is served next. Requests with
 * a long prefill wait in a second lane, so that they do not block short ones; both lanes of a team
 * share its virtual time. Adding and dispatching a request take logarithmic time in the number of
 * backlogged teams. Not thread-safe.
 */
final class FairQueue {
  /** Bounds how far service on other nodes can advance the virtual time of a team. */
  private static final double MAX_LEAD_TOKENS = 200_000;

  private static final int LANES = 2;

  /** Multiple of the mean weighted backlog above which a team is rejected for its own limit. */
  private static final double ABOVE_SHARE_FACTOR = 1.5;

  private static final class TeamEntry {
    private final String name;
    private final long sequence;
    private final List<ArrayDeque<QueuedItem>> lanes = new ArrayList<>(LANES);
    private double weight;
    private double virtualTime;
    private double backlogTokens;
    private int size;

    TeamEntry(String name, long sequence, double weight) {
      this.name = name;
      this.sequence = sequence;
      this.weight = weight;
      for (int i = 0; i < LANES; i++) {
        lanes.add(new ArrayDeque<>(1));
      }
    }

    double virtualTime() {
      return virtualTime;
    }

    double weightedBacklog() {
      return backlogTokens / weight;
    }

    long sequence() {
      return sequence;
    }
  }

  private final boolean fair;
  private final ToDoubleFunction<String> weights;
  private final Map<String, TeamEntry> teams = new HashMap<>();
  private final List<TreeSet<TeamEntry>> lanesByVirtualTime = new ArrayList<>(LANES);
  private final TreeSet<TeamEntry> teamsByBacklog =
      new TreeSet<>(
          Comparator.comparingDouble(TeamEntry::weightedBacklog)
              .thenComparingLong(TeamEntry::sequence));
  private final PriorityQueue<QueuedItem> itemsByDeadline =
      new PriorityQueue<>(Comparator.comparingLong(q -> q.item().deadlineNanos()));
  private long nextSequence;
  private double systemVirtualTime;
  private double queuedTokens;
  private double activeWeight;
  private int size;

  /** Creates an empty queue; if not fair, it serves all requests in order of arrival. */
  FairQueue(boolean fair, ToDoubleFunction<String> weights) {
    this.fair = fair;
    this.weights = weights;
    for (int i = 0; i < LANES; i++) {
      lanesByVirtualTime.add(
          new TreeSet<>(
              Comparator.comparingDouble(TeamEntry::virtualTime)
                  .thenComparingLong(TeamEntry::sequence)));
    }
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns the estimated cost of all queued requests in tokens. */
  double queuedTokens() {
    return queuedTokens;
  }

  int teamCount() {
    return teams.size();
  }

  /** Adds a request to the lane of its team: at the front for a retry, else at the end. */
  void add(QueuedItem queued, boolean atFront) {
    TeamEntry team = team(queued.item().team());
    if (team.size == 0) {
      team.virtualTime = Math.max(team.virtualTime, systemVirtualTime);
      activeWeight += team.weight;
    } else {
      teamsByBacklog.remove(team);
    }
    ArrayDeque<QueuedItem> lane = lane(team, queued);
    boolean laneWasEmpty = lane.isEmpty();
    if (atFront) {
      lane.addFirst(queued);
    } else {
      lane.addLast(queued);
    }
    if (laneWasEmpty) {
      laneByVirtualTime(queued).add(team);
    }
    team.size++;
    team.backlogTokens += queued.costTokens();
    teamsByBacklog.add(team);
    size++;
    queuedTokens += queued.costTokens();
    queued.setQueued(true);
    itemsByDeadline.add(queued);
  }

  /** Returns the next request of a lane without removing it, or null if the lane is empty. */
  QueuedItem peek(boolean longPrefill) {
    TreeSet<TeamEntry> lane = lanesByVirtualTime.get(longPrefill ? 1 : 0);
    return lane.isEmpty() ? null : lane.first().lanes.get(longPrefill ? 1 : 0).peekFirst();
  }

  /** Returns whether the next request to serve has a long prefill. */
  boolean isLongPrefillNext() {
    if (lanesByVirtualTime.get(1).isEmpty() || lanesByVirtualTime.get(0).isEmpty()) {
      return lanesByVirtualTime.get(0).isEmpty();
    }
    TeamEntry shortTeam = lanesByVirtualTime.get(0).first();
    TeamEntry longTeam = lanesByVirtualTime.get(1).first();
    if (shortTeam == longTeam) {
      return peek(true).queuedNanos() < peek(false).queuedNanos();
    }
    return longTeam.virtualTime < shortTeam.virtualTime;
  }

  /** Returns whether the backlog of a team is well above its weighted share of the queue. */
  boolean isAboveShare(String name) {
    TeamEntry team = teams.get(teamKey(name));
    boolean alone = teamsByBacklog.size() < 2;
    return fair
        && team != null
        && !alone
        && team.weightedBacklog()
            > ABOVE_SHARE_FACTOR * queuedTokens / Math.max(1e-9, activeWeight);
  }

  /** Removes a queued request. */
  void remove(QueuedItem queued) {
    TeamEntry team = teams.get(teamKey(queued.item().team()));
    if (team == null || !queued.isQueued()) {
      return;
    }
    teamsByBacklog.remove(team);
    ArrayDeque<QueuedItem> lane = lane(team, queued);
    if (lane.peekFirst() == queued) {
      lane.removeFirst();
    } else if (lane.peekLast() == queued) {
      lane.removeLast();
    } else {
      lane.remove(queued);
    }
    if (lane.isEmpty()) {
      laneByVirtualTime(queued).remove(team);
    }
    queued.setQueued(false);
    team.size--;
    team.backlogTokens = team.size == 0 ? 0 : team.backlogTokens - queued.costTokens();
    size--;
    queuedTokens = size == 0 ? 0 : queuedTokens - queued.costTokens();
    if (team.size == 0) {
      activeWeight = size == 0 ? 0 : activeWeight - team.weight;
    } else {
      teamsByBacklog.add(team);
    }
    if (size == 0) {
      itemsByDeadline.clear();
    }
  }

  /** Removes a request that is dispatched and charges its estimated cost to its team. */
  void removeDispatched(QueuedItem queued) {
    TeamEntry team = team(queued.item().team());
    systemVirtualTime = Math.max(systemVirtualTime, Math.min(team.virtualTime, minVirtualTime()));
    remove(queued);
    charge(queued.item().team(), queued.costTokens());
  }

  private double minVirtualTime() {
    double min = Double.MAX_VALUE;
    for (TreeSet<TeamEntry> lane : lanesByVirtualTime) {
      if (!lane.isEmpty()) {
        min = Math.min(min, lane.first().virtualTime);
      }
    }
    return min;
  }

  /** Charges tokens to a team; a negative amount is a refund. */
  void charge(String name, double tokens) {
    TeamEntry team = team(name);
    setVirtualTime(team, team.virtualTime + tokens / team.weight);
  }

  /** Charges a team for service on other nodes, up to a bounded lead over the other teams. */
  void chargeRemote(String name, double tokens) {
    TeamEntry team = teams.get(teamKey(name));
    if (!fair || team == null) {
      return;
    }
    double limit = systemVirtualTime + MAX_LEAD_TOKENS / team.weight;
    double charged = Math.min(limit, team.virtualTime + tokens / team.weight);
    setVirtualTime(team, Math.max(team.virtualTime, charged));
  }

  /** Estimates the cost of the requests served before a new request of a team, in tokens. */
  double tokensAhead(String name) {
    TeamEntry team = teams.get(teamKey(name));
    if (!fair || team == null) {
      return fair ? 0 : queuedTokens;
    }
    double leadTokens = Math.max(0, team.virtualTime - systemVirtualTime) * team.weight;
    double ownTokens = team.backlogTokens + leadTokens;
    return Math.min(queuedTokens, ownTokens * activeWeight / team.weight);
  }

  /**
   * Returns the request queued last by the team with the largest weighted backlog, or null if the
   * queue is empty.
   */
  QueuedItem evictionCandidate() {
    if (teamsByBacklog.isEmpty()) {
      return null;
    }
    TeamEntry team = teamsByBacklog.last();
    QueuedItem shortLast = team.lanes.get(0).peekLast();
    QueuedItem longLast = team.lanes.get(1).peekLast();
    if (shortLast == null || longLast == null) {
      return shortLast == null ? longLast : shortLast;
    }
    return shortLast.queuedNanos() > longLast.queuedNanos() ? shortLast : longLast;
  }

  /** Returns a copy of all queued requests. */
  List<QueuedItem> items() {
    List<QueuedItem> result = new ArrayList<>(size);
    for (TeamEntry team : teamsByBacklog) {
      team.lanes.forEach(result::addAll);
    }
    return result;
  }

  /** Removes and returns the requests whose deadline has passed. */
  List<QueuedItem> removeExpired(long nowNanos) {
    List<QueuedItem> result = new ArrayList<>();
    while (!itemsByDeadline.isEmpty() && itemsByDeadline.peek().item().deadlineNanos() < nowNanos) {
      QueuedItem queued = itemsByDeadline.poll();
      if (queued.isQueued()) {
        remove(queued);
        result.add(queued);
      }
    }
    return result;
  }

  /** Applies changed weights and removes idle teams that are not ahead in virtual time. */
  void refresh() {
    itemsByDeadline.removeIf(q -> !q.isQueued());
    teams.values().removeIf(t -> t.size == 0 && t.virtualTime <= systemVirtualTime);
    activeWeight = 0;
    for (TeamEntry team : teams.values()) {
      removeFromIndexes(team);
      team.weight = weight(team.name);
      activeWeight += team.size > 0 ? team.weight : 0;
      addToIndexes(team);
    }
  }

  private double weight(String name) {
    return fair ? Math.max(1e-6, weights.applyAsDouble(name)) : 1;
  }

  private String teamKey(String name) {
    return fair ? name : "";
  }

  private TeamEntry team(String name) {
    String key = teamKey(name);
    TeamEntry team = teams.get(key);
    if (team == null) {
      team = new TeamEntry(key, nextSequence++, weight(key));
      team.virtualTime = systemVirtualTime;
      teams.put(key, team);
    }
    return team;
  }

  private static ArrayDeque<QueuedItem> lane(TeamEntry team, QueuedItem queued) {
    return team.lanes.get(queued.isLongPrefill() ? 1 : 0);
  }

  private Set<TeamEntry> laneByVirtualTime(QueuedItem queued) {
    return lanesByVirtualTime.get(queued.isLongPrefill() ? 1 : 0);
  }

  private void setVirtualTime(TeamEntry team, double virtualTime) {
    for (int i = 0; i < LANES; i++) {
      if (!team.lanes.get(i).isEmpty()) {
        lanesByVirtualTime.get(i).remove(team);
      }
    }
    team.virtualTime = virtualTime;
    for (int i = 0; i < LANES; i++) {
      if (!team.lanes.get(i).isEmpty()) {
        lanesByVirtualTime.get(i).add(team);
      }
    }
  }

  private void removeFromIndexes(TeamEntry team) {
    if (team.size > 0) {
      teamsByBacklog.remove(team);
      for (int i = 0; i < LANES; i++) {
        lanesByVirtualTime.get(i).remove(team);
      }
    }
  }

  private void addToIndexes(TeamEntry team) {
    if (team.size > 0) {
      teamsByBacklog.add(team);
      for (int i = 0; i < LANES; i++) {
        if (!team.lanes.get(i).isEmpty()) {
          lanesByVirtualTime.get(i).add(team);
        }
      }
    }
  }
}
