package org.cranberrystand.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Weighted fair queue of one priority of one pool; teams are served by token cost.
 *
 * <p>Uses start-time fair queueing: the virtual time of a team grows by the cost of its requests
 * divided by its weight, and the team with the smallest virtual time is served next. Each team has
 * two lanes, so that requests of one kind do not block those of the other; both lanes of a team
 * share its virtual time. Adding and dispatching a request take logarithmic time in the number of
 * backlogged teams and in the number of requests of the team. Designed for 24,000 teams. Not
 * thread-safe.
 *
 * @param <E> the type of the requests
 */
public final class FairQueue<E extends FairItem> {
  /** Bounds how far service on other nodes can advance the virtual time of a team. */
  private static final double MAX_LEAD_TOKENS = 200_000;

  private static final int LANES = 2;

  /** Multiple of the mean weighted backlog above which a team is rejected for its own limit. */
  private static final double ABOVE_SHARE_FACTOR = 1.5;

  /** A queued request and its position in the lane of its team. */
  private record Node<E>(E item, long position) {}

  private static final class TeamEntry<E> {
    private final String name;
    private final long sequence;
    private final List<TreeSet<Node<E>>> lanes = new ArrayList<>(LANES);
    private double weight;
    private double virtualTime;
    private double backlogTokens;
    private int size;

    TeamEntry(String name, long sequence, double weight, Comparator<Node<E>> order) {
      this.name = name;
      this.sequence = sequence;
      this.weight = weight;
      for (int i = 0; i < LANES; i++) {
        lanes.add(new TreeSet<>(order));
      }
    }

    E first(int lane) {
      return lanes.get(lane).isEmpty() ? null : lanes.get(lane).first().item();
    }

    E last(int lane) {
      return lanes.get(lane).isEmpty() ? null : lanes.get(lane).last().item();
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
  private final Comparator<Node<E>> laneOrder;
  private final Map<String, TeamEntry<E>> teams = new HashMap<>();
  private final Map<E, Node<E>> nodes = new HashMap<>();
  private final List<TreeSet<TeamEntry<E>>> lanesByVirtualTime = new ArrayList<>(LANES);
  private final TreeSet<TeamEntry<E>> teamsByBacklog =
      new TreeSet<>(
          Comparator.comparingDouble((TeamEntry<E> team) -> team.weightedBacklog())
              .thenComparingLong(TeamEntry::sequence));
  private final TreeSet<Node<E>> itemsByDeadline =
      new TreeSet<>(
          Comparator.comparingLong((Node<E> node) -> node.item().deadlineNanos())
              .thenComparingLong(Node::position));
  private long nextSequence;
  private long nextPosition;
  private long nextFrontPosition = -1;
  private double systemVirtualTime;
  private double queuedTokens;
  private double activeWeight;

  /**
   * Creates an empty queue that serves the requests of each team in order of arrival.
   *
   * @param fair whether teams share the service; otherwise all requests are served in order of
   *     arrival
   * @param weights returns the weight of a team, above 0
   */
  public FairQueue(boolean fair, ToDoubleFunction<String> weights) {
    this(fair, weights, Comparator.comparingLong(Node::position));
  }

  private FairQueue(boolean fair, ToDoubleFunction<String> weights, Comparator<Node<E>> laneOrder) {
    this.fair = fair;
    this.weights = weights;
    this.laneOrder = laneOrder;
    for (int i = 0; i < LANES; i++) {
      lanesByVirtualTime.add(
          new TreeSet<>(
              Comparator.comparingDouble((TeamEntry<E> team) -> team.virtualTime())
                  .thenComparingLong(TeamEntry::sequence)));
    }
  }

  /**
   * Creates an empty queue that shares the service among teams.
   *
   * @param weights returns the weight of a team, above 0
   * @param itemOrder the order of the requests in a lane of a team; equal ones are served in order
   *     of arrival
   * @param <E> the type of the requests
   * @return the queue
   */
  public static <E extends FairItem> FairQueue<E> ordered(
      ToDoubleFunction<String> weights, Comparator<? super E> itemOrder) {
    Comparator<Node<E>> order = Comparator.comparing(Node::item, itemOrder);
    return new FairQueue<>(true, weights, order.thenComparingLong(Node::position));
  }

  public int size() {
    return nodes.size();
  }

  public boolean isEmpty() {
    return nodes.isEmpty();
  }

  /** Returns the estimated cost of all queued requests in tokens. */
  public double queuedTokens() {
    return queuedTokens;
  }

  /** Returns the number of teams whose virtual time is kept. */
  public int teamCount() {
    return teams.size();
  }

  /**
   * Adds a request to a lane of its team.
   *
   * @param queued the request; must not be queued already
   * @param atFront whether it goes before equal requests of its team, as a retry does
   */
  public void add(E queued, boolean atFront) {
    TeamEntry<E> team = team(queued.team());
    if (team.size == 0) {
      team.virtualTime = Math.max(team.virtualTime, systemVirtualTime);
      activeWeight += team.weight;
    } else {
      teamsByBacklog.remove(team);
    }
    Node<E> node = new Node<>(queued, atFront ? nextFrontPosition-- : nextPosition++);
    nodes.put(queued, node);
    TreeSet<Node<E>> lane = team.lanes.get(laneOf(queued));
    boolean laneWasEmpty = lane.isEmpty();
    lane.add(node);
    if (laneWasEmpty) {
      lanesByVirtualTime.get(laneOf(queued)).add(team);
    }
    team.size++;
    team.backlogTokens += queued.costTokens();
    teamsByBacklog.add(team);
    queuedTokens += queued.costTokens();
    queued.setQueued(true);
    itemsByDeadline.add(node);
  }

  /**
   * Returns the next request of a lane without removing it.
   *
   * @param secondLane whether to look at the second lane
   * @return the request; null if the lane is empty
   */
  public E peek(boolean secondLane) {
    int index = secondLane ? 1 : 0;
    TreeSet<TeamEntry<E>> lane = lanesByVirtualTime.get(index);
    return lane.isEmpty() ? null : lane.first().first(index);
  }

  /**
   * Applies a function to the requests of a lane in the order of service, until it returns a
   * result.
   *
   * @param secondLane whether to search the second lane
   * @param function returns null to continue
   * @param <R> the type of the result
   * @return the first result; null if there is none
   */
  public <R> R findFirst(boolean secondLane, Function<? super E, R> function) {
    int index = secondLane ? 1 : 0;
    for (TeamEntry<E> team : lanesByVirtualTime.get(index)) {
      for (Node<E> node : team.lanes.get(index)) {
        R result = function.apply(node.item());
        if (result != null) {
          return result;
        }
      }
    }
    return null;
  }

  /** Returns whether the next request to serve is in the second lane. */
  public boolean isSecondLaneNext() {
    if (lanesByVirtualTime.get(1).isEmpty() || lanesByVirtualTime.get(0).isEmpty()) {
      return lanesByVirtualTime.get(0).isEmpty();
    }
    TeamEntry<E> firstTeam = lanesByVirtualTime.get(0).first();
    TeamEntry<E> secondTeam = lanesByVirtualTime.get(1).first();
    if (firstTeam == secondTeam) {
      return peek(true).queuedNanos() < peek(false).queuedNanos();
    }
    return secondTeam.virtualTime < firstTeam.virtualTime;
  }

  /**
   * Returns whether the backlog of a team is well above its weighted share of the queue.
   *
   * @param name the team
   * @return true if it is
   */
  public boolean isAboveShare(String name) {
    TeamEntry<E> team = teams.get(teamKey(name));
    boolean alone = teamsByBacklog.size() < 2;
    return fair
        && team != null
        && !alone
        && team.weightedBacklog()
            > ABOVE_SHARE_FACTOR * queuedTokens / Math.max(1e-9, activeWeight);
  }

  /**
   * Removes a request.
   *
   * @param queued the request; ignored if it is not queued
   */
  public void remove(E queued) {
    Node<E> node = nodes.remove(queued);
    if (node == null) {
      return;
    }
    TeamEntry<E> team = teams.get(teamKey(queued.team()));
    teamsByBacklog.remove(team);
    TreeSet<Node<E>> lane = team.lanes.get(laneOf(queued));
    lane.remove(node);
    if (lane.isEmpty()) {
      lanesByVirtualTime.get(laneOf(queued)).remove(team);
    }
    itemsByDeadline.remove(node);
    queued.setQueued(false);
    team.size--;
    team.backlogTokens = team.size == 0 ? 0 : team.backlogTokens - queued.costTokens();
    queuedTokens = nodes.isEmpty() ? 0 : queuedTokens - queued.costTokens();
    if (team.size == 0) {
      activeWeight = nodes.isEmpty() ? 0 : activeWeight - team.weight;
    } else {
      teamsByBacklog.add(team);
    }
  }

  /**
   * Removes a request that is dispatched and charges its estimated cost to its team.
   *
   * @param queued the request
   */
  public void removeDispatched(E queued) {
    TeamEntry<E> team = team(queued.team());
    systemVirtualTime = Math.max(systemVirtualTime, Math.min(team.virtualTime, minVirtualTime()));
    remove(queued);
    charge(queued.team(), queued.costTokens());
  }

  private double minVirtualTime() {
    double min = Double.MAX_VALUE;
    for (TreeSet<TeamEntry<E>> lane : lanesByVirtualTime) {
      if (!lane.isEmpty()) {
        min = Math.min(min, lane.first().virtualTime);
      }
    }
    return min;
  }

  /**
   * Charges tokens to a team.
   *
   * @param name the team
   * @param tokens the amount; negative for a refund
   */
  public void charge(String name, double tokens) {
    TeamEntry<E> team = team(name);
    setVirtualTime(team, team.virtualTime + tokens / team.weight);
  }

  /**
   * Charges a team for service on other nodes, up to a bounded lead over the other teams.
   *
   * @param name the team; ignored if this queue has no state of it
   * @param tokens the amount
   */
  public void chargeRemote(String name, double tokens) {
    TeamEntry<E> team = teams.get(teamKey(name));
    if (!fair || team == null) {
      return;
    }
    double limit = systemVirtualTime + MAX_LEAD_TOKENS / team.weight;
    double charged = Math.min(limit, team.virtualTime + tokens / team.weight);
    setVirtualTime(team, Math.max(team.virtualTime, charged));
  }

  /**
   * Estimates the cost of the requests that are served before a new request of a team.
   *
   * @param name the team
   * @return the cost in tokens
   */
  public double tokensAhead(String name) {
    TeamEntry<E> team = teams.get(teamKey(name));
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
  public E evictionCandidate() {
    if (teamsByBacklog.isEmpty()) {
      return null;
    }
    TeamEntry<E> team = teamsByBacklog.last();
    E firstLast = team.last(0);
    E secondLast = team.last(1);
    if (firstLast == null || secondLast == null) {
      return firstLast == null ? secondLast : firstLast;
    }
    return firstLast.queuedNanos() > secondLast.queuedNanos() ? firstLast : secondLast;
  }

  /**
   * Adds the first requests of the lanes of all teams that satisfy a condition to a list.
   *
   * @param secondLane whether to search the second lanes
   * @param condition the condition; the first request of a lane that does not satisfy it ends the
   *     search of the lane
   * @param found receives the requests
   */
  public void collectHeads(boolean secondLane, Predicate<? super E> condition, List<E> found) {
    int index = secondLane ? 1 : 0;
    for (TeamEntry<E> team : lanesByVirtualTime.get(index)) {
      for (Node<E> node : team.lanes.get(index)) {
        if (!condition.test(node.item())) {
          break;
        }
        found.add(node.item());
      }
    }
  }

  /**
   * Returns the estimated cost of the queued requests of a team.
   *
   * @param name the team
   * @return the cost in tokens
   */
  public double backlogTokens(String name) {
    TeamEntry<E> team = teams.get(teamKey(name));
    return team == null ? 0 : team.backlogTokens;
  }

  /**
   * Returns the weighted share of a team among the teams with queued requests.
   *
   * @param name the team
   * @return a fraction; 1 if no team has queued requests
   */
  public double waitingFraction(String name) {
    TeamEntry<E> team = teams.get(teamKey(name));
    return team == null || activeWeight <= 0 ? 1 : Math.min(1, team.weight / activeWeight);
  }

  /**
   * Returns whether the queue keeps state of a team.
   *
   * @param name the team
   * @return true if it does
   */
  public boolean knows(String name) {
    return teams.containsKey(teamKey(name));
  }

  /** Returns a copy of all queued requests. */
  public List<E> items() {
    List<E> result = new ArrayList<>(size());
    for (TeamEntry<E> team : teamsByBacklog) {
      for (TreeSet<Node<E>> lane : team.lanes) {
        lane.forEach(node -> result.add(node.item()));
      }
    }
    return result;
  }

  /**
   * Returns the request whose deadline is next.
   *
   * @return the request; null if the queue is empty
   */
  public E peekEarliestDeadline() {
    return itemsByDeadline.isEmpty() ? null : itemsByDeadline.first().item();
  }

  /**
   * Removes the requests whose deadline has passed.
   *
   * @param nowNanos the current time
   * @return the removed requests
   */
  public List<E> removeExpired(long nowNanos) {
    List<E> result = new ArrayList<>();
    while (!isEmpty() && peekEarliestDeadline().deadlineNanos() < nowNanos) {
      E queued = peekEarliestDeadline();
      remove(queued);
      result.add(queued);
    }
    return result;
  }

  /** Applies changed weights and removes idle teams that are not ahead in virtual time. */
  public void refresh() {
    teams.values().removeIf(t -> t.size == 0 && t.virtualTime <= systemVirtualTime);
    activeWeight = 0;
    for (TeamEntry<E> team : teams.values()) {
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

  private TeamEntry<E> team(String name) {
    String key = teamKey(name);
    TeamEntry<E> team = teams.get(key);
    if (team == null) {
      team = new TeamEntry<>(key, nextSequence++, weight(key), laneOrder);
      team.virtualTime = systemVirtualTime;
      teams.put(key, team);
    }
    return team;
  }

  private static int laneOf(FairItem queued) {
    return queued.isInSecondLane() ? 1 : 0;
  }

  private void setVirtualTime(TeamEntry<E> team, double virtualTime) {
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

  private void removeFromIndexes(TeamEntry<E> team) {
    if (team.size > 0) {
      teamsByBacklog.remove(team);
      for (int i = 0; i < LANES; i++) {
        lanesByVirtualTime.get(i).remove(team);
      }
    }
  }

  private void addToIndexes(TeamEntry<E> team) {
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
