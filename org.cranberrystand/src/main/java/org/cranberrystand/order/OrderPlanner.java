package org.cranberrystand.order;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.ModelDeployment;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.placement.RendezvousHash;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Decides which orders one node gives to engines now.
 *
 * <p>Each engine is ordered by one node, chosen by rendezvous hashing over the live nodes. Engines
 * are changed in an order that all nodes agree on, and only as many at once as the urgent work of
 * the pool allows. Nothing is ordered on a view that was not confirmed after a pause, or on an
 * engine state that is not recent. Not thread-safe.
 */
public final class OrderPlanner {
  /** Age beyond which the state of an engine counts as unknown. */
  private static final long MAX_STATE_AGE_NANOS = Duration.ofSeconds(3).toNanos();

  /** Part of a pool that may be out of service at once, if its urgent work allows it. */
  private static final double MAX_UNAVAILABLE_SHARE = 0.1;

  /** Utilization up to which the remaining engines can serve urgent work in time. */
  private static final double MAX_URGENT_UTILIZATION = 0.8;

  /** Time within which an accepted order must show in the state of its engine. */
  private static final long ORDER_VISIBLE_NANOS = Duration.ofSeconds(5).toNanos();

  private static final long MIN_BACKOFF_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_BACKOFF_NANOS = Duration.ofMinutes(1).toNanos();

  private final Incarnation self;
  private final SplittableRandom random;
  private final RolloutGuard guard = new RolloutGuard();
  private final Map<String, Long> orderedAtNanos = new HashMap<>();
  private long backoffNanos;
  private long notBeforeNanos = Long.MIN_VALUE;

  /**
   * Creates a planner.
   *
   * @param self the incarnation that orders; its number also seeds the jitter of delays
   */
  public OrderPlanner(Incarnation self) {
    this.self = self;
    this.random = new SplittableRandom(self.id());
  }

  /**
   * Plans the orders to give now.
   *
   * @param input what is known
   * @param nowNanos the time on the node's monotonic clock
   * @return the orders; each must be answered by {@link #onResult}
   */
  public ImmutableList<EngineOrder> plan(PlanInput input, long nowNanos) {
    Bundle bundle = input.bundle();
    guard.onBundle(bundle.version());
    orderedAtNanos.values().removeIf(at -> nowNanos - at > ORDER_VISIBLE_NANOS);
    ImmutableList.Builder<EngineOrder> orders = ImmutableList.builder();
    for (String pool : bundle.pools().keySet()) {
      guard.observe(pool, input.goodputByPool().get(pool));
      if (input.viewConfirmed() && nowNanos >= notBeforeNanos && !guard.isHalted(pool)) {
        orders.addAll(planPool(pool, input, nowNanos));
      }
    }
    return orders.build();
  }

  /**
   * Records what became of an order.
   *
   * @param order the order
   * @param result what became of it
   * @param nowNanos the time on the node's monotonic clock
   */
  public void onResult(EngineOrder order, OrderResult result, long nowNanos) {
    if (result == OrderResult.ACCEPTED) {
      backoffNanos = 0;
      return;
    }
    orderedAtNanos.remove(order.engine());
    if (result.isBackOff()) {
      backoffNanos = Math.min(MAX_BACKOFF_NANOS, Math.max(MIN_BACKOFF_NANOS, backoffNanos * 2));
      // Jitter keeps nodes that were refused together from asking again together.
      notBeforeNanos = nowNanos + backoffNanos / 2 + random.nextLong(backoffNanos / 2 + 1);
    }
  }

  /**
   * Returns the pools whose rollout was halted because goodput fell.
   *
   * @return the names of the pools
   */
  public Set<String> haltedPools() {
    return guard.halted();
  }

  private List<EngineOrder> planPool(String pool, PlanInput input, long nowNanos) {
    ImmutableList<ModelDeployment> deployments = input.bundle().deployments(pool);
    List<String> engines =
        input.directory().inPool(pool).stream()
            .filter(upstream -> !upstream.leaving())
            .map(UpstreamRecord::name)
            .toList();
    ImmutableMap<String, EngineTarget> targets = DesiredPlacement.assign(deployments, engines);
    int slots = freeSlots(pool, engines, input, nowNanos);
    List<EngineOrder> orders = new ArrayList<>();
    for (String engine : RendezvousHash.rank(pool, targets.keySet())) {
      Optional<EngineState> state = usableState(engine, input, nowNanos);
      if (state.isEmpty() || state.get().loading() || state.get().satisfies(targets.get(engine))) {
        continue;
      }
      boolean outOfServiceAlready = state.get().model().isEmpty();
      if (!outOfServiceAlready && slots-- <= 0) {
        break;
      }
      if (isOwnEngine(engine, input.liveNodes())) {
        orders.add(order(pool, targets.get(engine), state.get(), input, nowNanos));
      }
    }
    return orders;
  }

  private EngineOrder order(
      String pool, EngineTarget target, EngineState state, PlanInput input, long nowNanos) {
    guard.onOrder(pool, input.goodputByPool().get(pool));
    orderedAtNanos.put(state.engine(), nowNanos);
    long number = FencingNumber.next(state.highestFencingNumber(), self.id());
    return new EngineOrder(state.engine(), target, number);
  }

  private boolean isOwnEngine(String engine, ImmutableSet<String> liveNodes) {
    return RendezvousHash.pick(engine, liveNodes).equals(Optional.of(self.node()));
  }

  /** Engines that may be taken out of service now without harm to urgent work. */
  private int freeSlots(String pool, List<String> engines, PlanInput input, long nowNanos) {
    int unavailable = 0;
    for (String engine : engines) {
      Optional<EngineState> state = usableState(engine, input, nowNanos);
      if (state.isEmpty() || state.get().loading() || state.get().model().isEmpty()) {
        unavailable++;
      }
    }
    double urgentLoad = input.urgentLoadByPool().getOrDefault(pool, 0.0);
    int needed = (int) Math.ceil(engines.size() * urgentLoad / MAX_URGENT_UTILIZATION);
    int limit = Math.max(1, (int) (engines.size() * MAX_UNAVAILABLE_SHARE));
    return Math.min(limit, engines.size() - needed) - unavailable;
  }

  /** An engine with an order on its way counts as unknown until its state was read again. */
  private Optional<EngineState> usableState(String engine, PlanInput input, long nowNanos) {
    EngineState state = input.states().get(engine);
    if (state == null || nowNanos - state.readAtNanos() > MAX_STATE_AGE_NANOS) {
      return Optional.empty();
    }
    Long orderedAt = orderedAtNanos.get(engine);
    return orderedAt != null && state.readAtNanos() <= orderedAt
        ? Optional.empty()
        : Optional.of(state);
  }
}
