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
 * Queue of one tier of one pool that serves teams in proportion to their weights, by token cost.
 *
 * <p>Start-time fair queueing: each team has a virtual time that grows with its cost divided by its
 * weight, and the team with the smallest is served next. Requests with a long prefill form a second
 * lane so that they do not hold up the others; both lanes share the virtual time. Each operation
 * takes logarithmic time in the number of backlogged teams. Not thread-safe.
 */
final class FairQueue {
  /** Bounds how far service on other nodes can put a team back, in tokens. */
  private static final double MAX_LEAD_TOKENS = 200_000;

  private static final int LANES = 2;

  /** A team must wait with this multiple of the mean before it is told of its own limit. */
  private static final double ABOVE_SHARE = 1.5;

  private static final class TeamEntry {
    private final String name;
    private final long order;
    private final List<ArrayDeque<QueuedItem>> lanes = new ArrayList<>(LANES);
    private double weight;
    private double virtualTime;
    private double backlog;
    private int size;

    TeamEntry(String name, long order, double weight) {
      this.name = name;
      this.order = order;
      this.weight = weight;
      for (int i = 0; i < LANES; i++) {
        lanes.add(new ArrayDeque<>(1));
      }
    }

    double virtualTime() {
      return virtualTime;
    }

    double normalizedBacklog() {
      return backlog / weight;
    }

    long order() {
      return order;
    }
  }

  private final boolean fair;
  private final ToDoubleFunction<String> weights;
  private final Map<String, TeamEntry> teams = new HashMap<>();
  private final List<TreeSet<TeamEntry>> byService = new ArrayList<>(LANES);
  private final TreeSet<TeamEntry> byBacklog =
      new TreeSet<>(
          Comparator.comparingDouble(TeamEntry::normalizedBacklog)
              .thenComparingLong(TeamEntry::order));
  private final PriorityQueue<QueuedItem> byDeadline =
      new PriorityQueue<>(Comparator.comparingLong(q -> q.item().deadlineNanos()));
  private long nextOrder;
  private double systemVirtualTime;
  private double cost;
  private double activeWeight;
  private int size;

  /** Creates an empty queue; without fairness all requests are served in order of arrival. */
  FairQueue(boolean fair, ToDoubleFunction<String> weights) {
    this.fair = fair;
    this.weights = weights;
    for (int i = 0; i < LANES; i++) {
      byService.add(
          new TreeSet<>(
              Comparator.comparingDouble(TeamEntry::virtualTime)
                  .thenComparingLong(TeamEntry::order)));
    }
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns the estimated cost of all queued requests in tokens. */
  double cost() {
    return cost;
  }

  int teamCount() {
    return teams.size();
  }

  /** Adds a request at the end of its team's queue, or at the front when it is tried again. */
  void add(QueuedItem queued, boolean first) {
    TeamEntry team = team(queued.item().team());
    if (team.size == 0) {
      team.virtualTime = Math.max(team.virtualTime, systemVirtualTime);
      activeWeight += team.weight;
    } else {
      byBacklog.remove(team);
    }
    ArrayDeque<QueuedItem> lane = lane(team, queued);
    boolean laneWasEmpty = lane.isEmpty();
    if (first) {
      lane.addFirst(queued);
    } else {
      lane.addLast(queued);
    }
    if (laneWasEmpty) {
      lanesByService(queued).add(team);
    }
    team.size++;
    team.backlog += queued.cost();
    byBacklog.add(team);
    size++;
    cost += queued.cost();
    queued.setQueued(true);
    byDeadline.add(queued);
  }

  /** Returns the next request of a lane, or null. */
  QueuedItem peek(boolean longPrefill) {
    TreeSet<TeamEntry> lane = byService.get(longPrefill ? 1 : 0);
    return lane.isEmpty() ? null : lane.first().lanes.get(longPrefill ? 1 : 0).peekFirst();
  }

  /** Tells whether the team that is to be served next waits with a long prefill. */
  boolean isLongFirst() {
    if (byService.get(1).isEmpty() || byService.get(0).isEmpty()) {
      return byService.get(0).isEmpty();
    }
    TeamEntry shortTeam = byService.get(0).first();
    TeamEntry longTeam = byService.get(1).first();
    if (shortTeam == longTeam) {
      return peek(true).queuedNanos() < peek(false).queuedNanos();
    }
    return longTeam.virtualTime < shortTeam.virtualTime;
  }

  /** Tells whether a team waits with clearly more than its part of the queue. */
  boolean isAboveShare(String name) {
    TeamEntry team = teams.get(key(name));
    boolean alone = byBacklog.size() < 2;
    return fair
        && team != null
        && !alone
        && team.normalizedBacklog() > ABOVE_SHARE * cost / Math.max(1e-9, activeWeight);
  }

  /** Removes a queued request. */
  void remove(QueuedItem queued) {
    TeamEntry team = teams.get(key(queued.item().team()));
    if (team == null || !queued.isQueued()) {
      return;
    }
    byBacklog.remove(team);
    ArrayDeque<QueuedItem> lane = lane(team, queued);
    if (lane.peekFirst() == queued) {
      lane.removeFirst();
    } else if (lane.peekLast() == queued) {
      lane.removeLast();
    } else {
      lane.remove(queued);
    }
    if (lane.isEmpty()) {
      lanesByService(queued).remove(team);
    }
    queued.setQueued(false);
    team.size--;
    team.backlog = team.size == 0 ? 0 : team.backlog - queued.cost();
    size--;
    cost = size == 0 ? 0 : cost - queued.cost();
    if (team.size == 0) {
      activeWeight = size == 0 ? 0 : activeWeight - team.weight;
    } else {
      byBacklog.add(team);
    }
    if (size == 0) {
      byDeadline.clear();
    }
  }

  /** Removes a request that is dispatched and charges its estimated cost. */
  void dispatched(QueuedItem queued) {
    TeamEntry team = team(queued.item().team());
    systemVirtualTime = Math.max(systemVirtualTime, Math.min(team.virtualTime, leastVirtualTime()));
    remove(queued);
    charge(queued.item().team(), queued.cost());
  }

  private double leastVirtualTime() {
    double least = Double.MAX_VALUE;
    for (TreeSet<TeamEntry> lane : byService) {
      if (!lane.isEmpty()) {
        least = Math.min(least, lane.first().virtualTime);
      }
    }
    return least;
  }

  /** Charges a team, or gives back with a negative amount. */
  void charge(String name, double tokens) {
    TeamEntry team = team(name);
    moveTo(team, team.virtualTime + tokens / team.weight);
  }

  /** Charges a team for service on other nodes, up to a bounded lead over the others. */
  void chargeRemote(String name, double tokens) {
    TeamEntry team = teams.get(key(name));
    if (!fair || team == null) {
      return;
    }
    double limit = systemVirtualTime + MAX_LEAD_TOKENS / team.weight;
    double charged = Math.min(limit, team.virtualTime + tokens / team.weight);
    moveTo(team, Math.max(team.virtualTime, charged));
  }

  /** Returns the cost that is served before a new request of a team, in tokens. */
  double costAhead(String name) {
    TeamEntry team = teams.get(key(name));
    if (!fair || team == null) {
      return fair ? 0 : cost;
    }
    double lead = Math.max(0, team.virtualTime - systemVirtualTime) * team.weight;
    double own = team.backlog + lead;
    return Math.min(cost, own * activeWeight / team.weight);
  }

  /** Returns the last request of the team with the largest backlog for its weight, or null. */
  QueuedItem evictionCandidate() {
    if (byBacklog.isEmpty()) {
      return null;
    }
    TeamEntry team = byBacklog.last();
    QueuedItem shortLast = team.lanes.get(0).peekLast();
    QueuedItem longLast = team.lanes.get(1).peekLast();
    if (shortLast == null || longLast == null) {
      return shortLast == null ? longLast : shortLast;
    }
    return shortLast.queuedNanos() > longLast.queuedNanos() ? shortLast : longLast;
  }

  /** Returns all queued requests; for eviction of the whole queue. */
  List<QueuedItem> all() {
    List<QueuedItem> result = new ArrayList<>(size);
    for (TeamEntry team : byBacklog) {
      team.lanes.forEach(result::addAll);
    }
    return result;
  }

  /** Removes and returns requests whose deadline is before a time. */
  List<QueuedItem> removeExpired(long nanos) {
    List<QueuedItem> result = new ArrayList<>();
    while (!byDeadline.isEmpty() && byDeadline.peek().item().deadlineNanos() < nanos) {
      QueuedItem queued = byDeadline.poll();
      if (queued.isQueued()) {
        remove(queued);
        result.add(queued);
      }
    }
    return result;
  }

  /** Takes changed weights into account and forgets idle teams without debt. */
  void refresh() {
    byDeadline.removeIf(q -> !q.isQueued());
    teams.values().removeIf(t -> t.size == 0 && t.virtualTime <= systemVirtualTime);
    activeWeight = 0;
    for (TeamEntry team : teams.values()) {
      detach(team);
      team.weight = weight(team.name);
      activeWeight += team.size > 0 ? team.weight : 0;
      attach(team);
    }
  }

  private double weight(String name) {
    return fair ? Math.max(1e-6, weights.applyAsDouble(name)) : 1;
  }

  private String key(String name) {
    return fair ? name : "";
  }

  private TeamEntry team(String name) {
    String key = key(name);
    TeamEntry team = teams.get(key);
    if (team == null) {
      team = new TeamEntry(key, nextOrder++, weight(key));
      team.virtualTime = systemVirtualTime;
      teams.put(key, team);
    }
    return team;
  }

  private static ArrayDeque<QueuedItem> lane(TeamEntry team, QueuedItem queued) {
    return team.lanes.get(queued.isLongPrefill() ? 1 : 0);
  }

  private Set<TeamEntry> lanesByService(QueuedItem queued) {
    return byService.get(queued.isLongPrefill() ? 1 : 0);
  }

  private void moveTo(TeamEntry team, double virtualTime) {
    for (int i = 0; i < LANES; i++) {
      if (!team.lanes.get(i).isEmpty()) {
        byService.get(i).remove(team);
      }
    }
    team.virtualTime = virtualTime;
    for (int i = 0; i < LANES; i++) {
      if (!team.lanes.get(i).isEmpty()) {
        byService.get(i).add(team);
      }
    }
  }

  private void detach(TeamEntry team) {
    if (team.size > 0) {
      byBacklog.remove(team);
      for (int i = 0; i < LANES; i++) {
        byService.get(i).remove(team);
      }
    }
  }

  private void attach(TeamEntry team) {
    if (team.size > 0) {
      byBacklog.add(team);
      for (int i = 0; i < LANES; i++) {
        if (!team.lanes.get(i).isEmpty()) {
          byService.get(i).add(team);
        }
      }
    }
  }
}
