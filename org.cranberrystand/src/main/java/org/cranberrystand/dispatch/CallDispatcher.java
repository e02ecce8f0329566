package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Schedules the requests of one node: decides when and to which upstream each request is sent, or
 * that the request is refused.
 *
 * <p>After {@link #submit} or {@link #resubmit}, exactly one of {@link DispatchOutput#send} and
 * {@link DispatchOutput#refuse} is called for the request unless {@link #ended} cancels the request
 * first. After a send the caller must call {@link #ended}. All times are nanoseconds of the node's
 * monotonic clock. Not thread-safe.
 */
public final class CallDispatcher {
  private final DispatchOutput output;
  private final SplittableRandom random;
  private final Map<String, PoolScheduler> pools = new HashMap<>();
  private final Map<Long, RunningCall> running = new HashMap<>();
  private final PlacementHold hold = new PlacementHold();
  private ImmutableMap<String, UpstreamUsage> peerUsage = ImmutableMap.of();
  private Predicate<String> isPreferred = id -> true;
  private String ownDomain = "";
  private ToLongFunction<RegisteredUpstream> minSendIntervals = upstream -> 0;
  private ToIntFunction<RegisteredUpstream> slotShares = upstream -> Integer.MAX_VALUE;
  private Consumer<RegisteredUpstream> contactLost = upstream -> {};
  private final Map<String, Double> usedElsewhereTokens = new HashMap<>();
  private long usageChanges;

  /**
   * Creates a dispatcher without upstreams.
   *
   * @param output receives the decisions
   * @param seed the seed for choosing among equally good upstreams; must differ between nodes,
   *     which would otherwise all choose the same one
   */
  public CallDispatcher(DispatchOutput output, long seed) {
    this.random = new SplittableRandom(seed);
    this.output = output;
  }

  /**
   * Replaces the set of upstreams that may receive requests.
   *
   * @param usable the registered upstreams of all pools
   * @param now the current time
   */
  public void upstreamsChanged(Collection<RegisteredUpstream> usable, long now) {
    Map<String, List<RegisteredUpstream>> byPool = new HashMap<>();
    usable.forEach(u -> byPool.computeIfAbsent(u.pool(), p -> new ArrayList<>()).add(u));
    Set<String> names = new HashSet<>(pools.keySet());
    names.addAll(byPool.keySet());
    for (String name : names) {
      pool(name).updateUpstreams(byPool.getOrDefault(name, List.of()), now);
      pool(name).setPreferredUpstreams(isPreferred);
      pool(name).setMinSendIntervals(minSendIntervals);
      pool(name).setSlotShares(slotShares);
      pool(name).setOwnDomain(ownDomain);
    }
    applyPeerUsage();
    pools.values().forEach(pool -> pool.dispatchWaiting(now));
  }

  /**
   * Replaces the set of upstreams that may receive requests after some were withdrawn at once.
   * Waiting requests go to the others, or are refused now if those cannot serve them in time.
   *
   * @param usable the registered upstreams of all pools
   * @param now the current time
   */
  public void upstreamsWithdrawn(Collection<RegisteredUpstream> usable, long now) {
    Map<String, Integer> slotsBefore = new HashMap<>();
    pools.forEach((name, pool) -> slotsBefore.put(name, pool.slots()));
    upstreamsChanged(usable, now);
    slotsBefore.forEach(
        (name, before) -> {
          PoolScheduler pool = pool(name);
          if (pool.slots() < before) {
            pool.refuseUnservable((double) pool.slots() / before, now);
          }
        });
  }

  /**
   * Sets for how long the node may stand still before its state counts as out of date.
   *
   * @param nanos the longest interval between two calls of {@link #tick} after which requests are
   *     sent without a call of {@link #stateConfirmed}
   */
  public void setMaxStandstill(long nanos) {
    hold.setMaxStandstill(nanos);
  }

  /**
   * Records that the state of the fleet is up to date.
   *
   * @param now the current time
   */
  public void stateConfirmed(long now) {
    hold.confirmed();
    pools.values().forEach(pool -> pool.dispatchWaiting(now));
  }

  /**
   * Returns for how long requests have been held because the node stood still.
   *
   * @param now the current time
   * @return the time in nanoseconds; 0 if requests are sent
   */
  public long heldNanos(long now) {
    return hold.heldNanos(now);
  }

  /**
   * Replaces the usage that other nodes have reported for the upstreams.
   *
   * @param usage the summed usage of the other nodes, by identifier of the upstream
   * @param now the current time
   */
  public void peerUsageChanged(ImmutableMap<String, UpstreamUsage> usage, long now) {
    peerUsage = usage;
    applyPeerUsage();
    pools.values().forEach(pool -> pool.dispatchWaiting(now));
  }

  /**
   * Replaces the set of preferred upstreams, those assigned to the cell of this node.
   *
   * @param value returns true for the identifier of a preferred upstream
   */
  public void preferredUpstreamsChanged(Predicate<String> value) {
    isPreferred = value;
    pools.values().forEach(pool -> pool.setPreferredUpstreams(value));
  }

  /**
   * Replaces the failure domain that is preferred among upstreams of about equal cost.
   *
   * @param domain the failure domain of this node; empty for no preference
   */
  public void ownDomainChanged(String domain) {
    if (!domain.equals(ownDomain)) {
      ownDomain = domain;
      pools.values().forEach(pool -> pool.setOwnDomain(domain));
    }
  }

  /**
   * Records how long work currently takes on the VM of an upstream.
   *
   * @param upstream the upstream
   * @param speed the reported speed; ignored if invalid
   * @param now when the report was received
   */
  public void speedReported(RegisteredUpstream upstream, ReportedSpeed speed, long now) {
    pool(upstream.pool()).speedReported(upstream, speed, now);
  }

  /**
   * Replaces the shortest intervals at which this node may send requests to the upstreams.
   *
   * @param value returns the interval in nanoseconds; 0 without a limit, {@link
   *     UpstreamLimits#NEVER} if this node must not send any
   */
  public void minSendIntervalsChanged(ToLongFunction<RegisteredUpstream> value) {
    minSendIntervals = value;
    pools.values().forEach(pool -> pool.setMinSendIntervals(value));
  }

  /**
   * Replaces the numbers of slots that this node may use at a time.
   *
   * @param value returns the number of slots; {@link Integer#MAX_VALUE} for all
   */
  public void slotSharesChanged(ToIntFunction<RegisteredUpstream> value) {
    slotShares = value;
    pools.values().forEach(pool -> pool.setSlotShares(value));
  }

  /**
   * Sets the listener for upstreams to which no connection could be opened. One that only broke
   * does not count, because sound upstreams reset connections too.
   *
   * @param value called before other requests are placed
   */
  public void setContactLostListener(Consumer<RegisteredUpstream> value) {
    contactLost = value;
  }

  /**
   * Records what a team used at other nodes; it counts in the share of the team.
   *
   * @param team the team
   * @param tokens the cost of the requests in tokens; negative for a refund
   */
  public void usedElsewhere(String team, double tokens) {
    usedElsewhereTokens.merge(team, tokens, Double::sum);
  }

  /**
   * Divides the usage of teams at other nodes, which is reported without the pool, among the pools
   * as this node uses them.
   */
  private void applyUsedElsewhere(long now) {
    usedElsewhereTokens.forEach(
        (team, tokens) -> {
          double ofTeam = 0;
          double ofAll = 0;
          for (PoolScheduler pool : pools.values()) {
            ofTeam += pool.queue().load().ownTokensPerSecond(team, now);
            ofAll += pool.queue().load().ownTokensPerSecond(now);
          }
          for (PoolScheduler pool : pools.values()) {
            double part =
                ofTeam > 0
                    ? pool.queue().load().ownTokensPerSecond(team, now) / ofTeam
                    : pool.queue().load().ownTokensPerSecond(now) / ofAll;
            if (part > 0) {
              pool.queue().usedElsewhere(team, tokens * part, now);
            }
          }
        });
    usedElsewhereTokens.clear();
  }

  private void applyPeerUsage() {
    for (PoolScheduler pool : pools.values()) {
      for (UpstreamState state : pool.upstreams()) {
        state.setPeerUsage(peerUsage.getOrDefault(state.upstream().id(), UpstreamUsage.NONE));
      }
    }
  }

  /**
   * Queues a request and dispatches it at once if a slot is free.
   *
   * @param call the request
   * @param excludedUpstream the identifier of an upstream to avoid if its pool has another one;
   *     null for none
   * @param now the current time
   */
  public void submit(CallSpec call, String excludedUpstream, long now) {
    pool(call.pool()).submit(call, excludedUpstream, now);
  }

  /**
   * Queues a request again that may have run at an upstream; it goes before all requests that have
   * not.
   *
   * @param call the request
   * @param excludedUpstream the identifier of the upstream that may have run it
   * @param now the current time
   */
  public void resubmit(CallSpec call, String excludedUpstream, long now) {
    pool(call.pool()).resubmit(call, excludedUpstream, now);
  }

  /**
   * Returns whether a pool has a free slot that no request of this node waits for.
   *
   * @param pool the name of the pool
   * @param now the current time
   * @return true if one more request would displace no other
   */
  public boolean hasSpareCapacity(String pool, long now) {
    return pool(pool).hasSpareCapacity(now);
  }

  /**
   * Returns whether a request that is in progress could be sent to another upstream at once.
   *
   * @param call the request
   * @param fromUpstream the identifier of the upstream that it would leave
   * @param now the current time
   * @return true if a slot is free at another upstream
   */
  public boolean canMove(CallSpec call, String fromUpstream, long now) {
    return pool(call.pool()).canMove(call, fromUpstream, now);
  }

  /**
   * Records that an upstream wants no requests from this node for some time.
   *
   * @param upstream the upstream
   * @param pause how long
   * @param now the current time
   */
  public void pauseRequested(RegisteredUpstream upstream, PauseRequest pause, long now) {
    pool(upstream.pool()).pauseRequested(upstream, pause, now);
  }

  /**
   * Records whether a connection to an upstream could be opened.
   *
   * @param upstream the upstream
   * @param connected false if it could not
   * @param now the current time
   */
  public void connectEnded(RegisteredUpstream upstream, boolean connected, long now) {
    if (!connected) {
      contactLost.accept(upstream);
    }
    pool(upstream.pool()).connectEnded(upstream.id(), connected, now);
  }

  /**
   * Returns the upstreams to which to open a connection, to find out whether this node reaches
   * their pool.
   *
   * @param now the current time
   * @return the upstreams; mostly none
   */
  public ImmutableList<RegisteredUpstream> takeProbes(long now) {
    ImmutableList.Builder<RegisteredUpstream> probes = ImmutableList.builder();
    pools.forEach((name, pool) -> probes.addAll(pool.takeProbes(runningIn(pool), now)));
    return probes.build();
  }

  private List<RunningCall> runningIn(PoolScheduler pool) {
    return running.values().stream()
        .filter(call -> pool.find(call.state().upstream().id()) == call.state())
        .toList();
  }

  /**
   * Returns whether only other nodes can send requests to a pool.
   *
   * @param pool the name of the pool
   * @return true if this node reaches none of its upstreams, or if they limit requests so much that
   *     this node has no share
   */
  public boolean isServedByOthersOnly(String pool) {
    return pool(pool).isUnreachable() || pool(pool).isLeftToOthers();
  }

  /**
   * Returns whether nodes use slots of their own only at some upstream of a pool, so that other
   * nodes may have free slots which this one must not use.
   *
   * @param pool the name of the pool
   * @return true if slots are divided among nodes
   */
  public boolean isDivided(String pool) {
    return pool(pool).isDivided();
  }

  /**
   * Returns the pools none of whose upstreams this node can reach.
   *
   * @return the names of the pools
   */
  public ImmutableSet<String> unreachablePools() {
    return pools.entrySet().stream()
        .filter(pool -> pool.getValue().isUnreachable())
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Records that bytes of a response were received.
   *
   * @param key the key of the request
   * @param now the current time
   */
  public void bytesReceived(long key, long now) {
    RunningCall call = running.get(key);
    if (call != null) {
      call.state().bytesReceived(now);
    }
  }

  /**
   * Records that events of a response stream were received.
   *
   * @param key the key of the request
   * @param count the number of events
   * @param now the current time
   */
  public void eventsReceived(long key, int count, long now) {
    RunningCall call = running.get(key);
    if (call != null) {
      usageChanges += call.isDecoding() ? 0 : 1;
      call.eventsReceived(count, now);
    }
  }

  /**
   * Records that a request ended at its upstream, or removes it from the queue if it was cancelled
   * while waiting.
   *
   * @param key the key of the request
   * @param ending how the request ended
   * @param now the current time
   */
  public void ended(long key, CallEnding ending, long now) {
    RunningCall call = running.remove(key);
    if (call != null) {
      usageChanges++;
      pool(call.call().pool()).ended(call, ending, now);
    } else {
      pools.values().forEach(pool -> pool.remove(key));
    }
  }

  /**
   * Returns the upstream to which a hedge of a request can be sent.
   *
   * @param call the request, which is at an upstream
   * @param first the upstream of its first attempt
   * @param now the current time
   * @return an upstream with a free slot in another failure domain; empty if there is none or the
   *     pool is overloaded
   */
  public Optional<HedgeTarget> findHedgeTarget(CallSpec call, RegisteredUpstream first, long now) {
    return pool(call.pool()).findHedgeTarget(call, first, now);
  }

  /**
   * Records that the hedge of a request was sent; {@link #hedgeEnded} or {@link #hedgePromoted}
   * must follow.
   *
   * @param call the request
   * @param target where the hedge was sent, as just found
   * @param now the current time
   */
  public void hedgeSent(CallSpec call, HedgeTarget target, long now) {
    UpstreamState state = pool(call.pool()).find(target.upstream().id());
    state.sent(call.promptTokens(), now);
    running.put(hedgeKey(call.key()), new RunningCall(call, state, 0, now));
    usageChanges++;
  }

  /**
   * Records that bytes of the response to the hedge of a request were received.
   *
   * @param key the key of the request
   * @param now the current time
   */
  public void hedgeBytesReceived(long key, long now) {
    bytesReceived(hedgeKey(key), now);
  }

  /**
   * Records that the hedge of a request ended at its upstream.
   *
   * @param key the key of the request
   * @param ending how the hedge ended
   * @param now the current time
   */
  public void hedgeEnded(long key, CallEnding ending, long now) {
    ended(hedgeKey(key), ending, now);
  }

  /**
   * Records that the hedge is the only attempt left of a request; it then ends as {@link #ended}
   * says.
   *
   * @param key the key of the request, whose first attempt has ended
   */
  public void hedgePromoted(long key) {
    RunningCall hedge = running.remove(hedgeKey(key));
    if (hedge != null) {
      running.put(key, hedge);
    }
  }

  /** Returns a key that no request has, since keys of requests are not negative. */
  private static long hedgeKey(long key) {
    return ~key;
  }

  /**
   * Runs the periodic work: refuses requests that have waited too long and readmits ejected
   * upstreams.
   *
   * @param now the current time
   */
  public void tick(long now) {
    hold.tick(now);
    applyUsedElsewhere(now);
    for (PoolScheduler pool : pools.values()) {
      pool.tick(runningIn(pool), now);
    }
  }

  /**
   * Returns the usage of each upstream by requests of this node.
   *
   * @return the usage by identifier of the upstream; unused upstreams are absent
   */
  public ImmutableMap<String, UpstreamUsage> ownUsage() {
    Map<String, UpstreamUsage> usage = new HashMap<>();
    for (RunningCall call : running.values()) {
      UpstreamUsage one = new UpstreamUsage(1, call.pendingPrefillTokens());
      usage.merge(call.state().upstream().id(), one, UpstreamUsage::plus);
    }
    return ImmutableMap.copyOf(usage);
  }

  /**
   * Returns how often {@link #ownUsage} has changed since the start.
   *
   * @return a count that increases with each change
   */
  public long usageChangeCount() {
    return usageChanges;
  }

  /**
   * Returns the number of requests that wait for a slot.
   *
   * @return the number over all pools
   */
  public int waitingCount() {
    return pools.values().stream().mapToInt(PoolScheduler::waitingCount).sum();
  }

  public int runningCount() {
    return running.size();
  }

  private void started(RunningCall call) {
    running.put(call.call().key(), call);
    usageChanges++;
  }

  private PoolScheduler pool(String name) {
    return pools.computeIfAbsent(
        name, n -> new PoolScheduler(output, this::started, random.split(), hold));
  }
}
