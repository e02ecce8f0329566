package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Decides for every request of a node when and where it is sent, or that it is refused.
 *
 * <p>Contract: after {@link #submit} exactly one of send and refuse follows for the request, unless
 * it is cancelled before; after send, {@link #ended} must follow. Not thread-safe.
 */
public final class CallDispatcher {
  private final DispatchOutput output;
  private final SplittableRandom random;
  private final Map<String, PoolDispatch> pools = new HashMap<>();
  private final Map<Long, RunningCall> running = new HashMap<>();
  private ImmutableMap<String, UpstreamUsage> peerUsage = ImmutableMap.of();
  private Predicate<String> isHome = id -> true;
  private long changes;

  /**
   * Creates a dispatcher without upstreams.
   *
   * @param output carries out the decisions
   * @param seed the seed of the choice among equal upstreams; must differ between nodes
   */
  public CallDispatcher(DispatchOutput output, long seed) {
    this.random = new SplittableRandom(seed);
    this.output = output;
  }

  /**
   * Replaces the upstreams that may get requests.
   *
   * @param usable the upstreams
   * @param now the time
   */
  public void upstreamsChanged(Collection<RegisteredUpstream> usable, long now) {
    Map<String, List<RegisteredUpstream>> byPool = new HashMap<>();
    usable.forEach(u -> byPool.computeIfAbsent(u.pool(), p -> new ArrayList<>()).add(u));
    Set<String> names = new HashSet<>(pools.keySet());
    names.addAll(byPool.keySet());
    for (String name : names) {
      pool(name).update(byPool.getOrDefault(name, List.of()), now);
      pool(name).setHomes(isHome);
    }
    applyPeerUsage();
    pools.values().forEach(pool -> pool.pump(now));
  }

  /**
   * Replaces what the other nodes use of the upstreams.
   *
   * @param usage the usage by upstream
   * @param now the time
   */
  public void peersChanged(ImmutableMap<String, UpstreamUsage> usage, long now) {
    peerUsage = usage;
    applyPeerUsage();
    pools.values().forEach(pool -> pool.pump(now));
  }

  /**
   * Replaces which upstreams this node uses before others.
   *
   * @param value tells it by the identifier of the upstream
   */
  public void homesChanged(Predicate<String> value) {
    isHome = value;
    pools.values().forEach(pool -> pool.setHomes(value));
  }

  private void applyPeerUsage() {
    for (PoolDispatch pool : pools.values()) {
      for (UpstreamState state : pool.upstreams()) {
        state.setPeers(peerUsage.getOrDefault(state.upstream().id(), UpstreamUsage.NONE));
      }
    }
  }

  /**
   * Takes a request.
   *
   * @param call the request
   * @param excluded an upstream to avoid if there is another; null for none
   * @param now the time
   */
  public void submit(CallSpec call, String excluded, long now) {
    pool(call.pool()).submit(call, excluded, now);
  }

  /**
   * Notes that bytes of an answer came.
   *
   * @param key the request
   * @param now the time
   */
  public void heard(long key, long now) {
    RunningCall call = running.get(key);
    if (call != null) {
      call.state().heard(now);
    }
  }

  /**
   * Notes events of an answer.
   *
   * @param key the request
   * @param count how many came
   * @param now the time
   */
  public void eventsCame(long key, int count, long now) {
    RunningCall call = running.get(key);
    if (call != null) {
      changes += call.isDecoding() ? 0 : 1;
      call.eventsCame(count, now);
    }
  }

  /**
   * Notes that a request ended at its upstream, or was given up while it waited.
   *
   * @param key the request
   * @param ending how it ended
   * @param now the time
   */
  public void ended(long key, CallEnding ending, long now) {
    RunningCall call = running.remove(key);
    if (call != null) {
      changes++;
      pool(call.call().pool()).ended(call, ending, now);
    } else {
      pools.values().forEach(pool -> pool.remove(key));
    }
  }

  /**
   * Does what time alone causes: refuses what waited too long, readmits ejected upstreams.
   *
   * @param now the time
   */
  public void tick(long now) {
    for (PoolDispatch pool : pools.values()) {
      List<RunningCall> calls =
          running.values().stream()
              .filter(call -> pool.find(call.state().upstream().id()) == call.state())
              .toList();
      pool.tick(calls, now);
    }
  }

  /**
   * Returns what this node uses of each upstream.
   *
   * @return the usage by upstream, without those that are not used
   */
  public ImmutableMap<String, UpstreamUsage> ownUsage() {
    Map<String, UpstreamUsage> usage = new HashMap<>();
    for (RunningCall call : running.values()) {
      UpstreamUsage one = new UpstreamUsage(1, call.tokensToRead());
      usage.merge(call.state().upstream().id(), one, UpstreamUsage::plus);
    }
    return ImmutableMap.copyOf(usage);
  }

  /**
   * Returns a number that grows with each change of the usage of an upstream.
   *
   * @return the number of changes since the start
   */
  public long changeCount() {
    return changes;
  }

  /**
   * Returns how many requests wait for a slot.
   *
   * @return the number over all pools
   */
  public int waitingCount() {
    return pools.values().stream().mapToInt(PoolDispatch::waitingCount).sum();
  }

  public int runningCount() {
    return running.size();
  }

  private void started(RunningCall call) {
    running.put(call.call().key(), call);
    changes++;
  }

  private PoolDispatch pool(String name) {
    return pools.computeIfAbsent(
        name, n -> new PoolDispatch(output, this::started, random.split()));
  }
}
