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
 * Plans the orders that one node sends to engines.
 *
 * <p>Rendezvous hashing over the live nodes selects the one node that may send orders to an engine.
 * All nodes change the engines of a pool in the same sequence, and take only as many out of service
 * at once as the urgent load of the pool allows. After a process pause, a node sends no orders
 * until it has refreshed its view, and it never acts on an outdated engine state. Not thread-safe.
 */
public final class OrderPlanner {
  /** Age after which the state of an engine is treated as unknown. */
  private static final long MAX_STATE_AGE_NANOS = Duration.ofSeconds(3).toNanos();

  /** Maximum fraction of a pool that may be out of service at once, if the urgent load allows. */
  private static final double MAX_UNAVAILABLE_FRACTION = 0.1;

  /** Maximum utilization at which the remaining engines still meet the deadlines of urgent work. */
  private static final double MAX_URGENT_UTILIZATION = 0.8;

  /** Time for which an order invalidates a state of its engine that was read before the order. */
  private static final long PENDING_ORDER_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

  private static final long MIN_BACKOFF_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_BACKOFF_NANOS = Duration.ofMinutes(1).toNanos();

  private final Incarnation self;
  private final SplittableRandom random;
  private final RolloutGuard guard = new RolloutGuard();
  private final Map<String, Long> orderedAtNanos = new HashMap<>();
  private long backoffNanos;
  private long backoffUntilNanos = Long.MIN_VALUE;

  /**
   * Creates a planner.
   *
   * @param self the incarnation of this node; its ID also seeds the backoff jitter
   */
  public OrderPlanner(Incarnation self) {
    this.self = self;
    this.random = new SplittableRandom(self.id());
  }

  /**
   * Returns the orders to send now.
   *
   * @param input the inputs of the decision
   * @param nowNanos the current time in nanoseconds of the node's monotonic clock
   * @return the orders; the caller reports the result of each by {@link #onResult}
   */
  public ImmutableList<EngineOrder> plan(PlanInput input, long nowNanos) {
    Bundle bundle = input.bundle();
    guard.onBundle(bundle.version());
    orderedAtNanos.values().removeIf(at -> nowNanos - at > PENDING_ORDER_TIMEOUT_NANOS);
    ImmutableList.Builder<EngineOrder> orders = ImmutableList.builder();
    for (String pool : bundle.pools().keySet()) {
      guard.recordGoodput(pool, input.goodputByPool().get(pool));
      if (input.viewConfirmed() && nowNanos >= backoffUntilNanos && !guard.isHalted(pool)) {
        orders.addAll(planPool(pool, input, nowNanos));
      }
    }
    return orders.build();
  }

  /**
   * Records the result of an order.
   *
   * @param order an order returned by {@link #plan}
   * @param result the result of the order
   * @param nowNanos the current time in nanoseconds of the node's monotonic clock
   */
  public void onResult(EngineOrder order, OrderResult result, long nowNanos) {
    if (result == OrderResult.ACCEPTED) {
      backoffNanos = 0;
      return;
    }
    orderedAtNanos.remove(order.engine());
    if (result.requiresBackoff()) {
      backoffNanos = Math.min(MAX_BACKOFF_NANOS, Math.max(MIN_BACKOFF_NANOS, backoffNanos * 2));
      // Jitter prevents nodes whose orders failed together from retrying at the same time.
      backoffUntilNanos = nowNanos + backoffNanos / 2 + random.nextLong(backoffNanos / 2 + 1);
    }
  }

  /**
   * Returns the pools whose rollout is halted because their goodput dropped.
   *
   * @return the names of the pools
   */
  public Set<String> haltedPools() {
    return guard.haltedPools();
  }

  private List<EngineOrder> planPool(String pool, PlanInput input, long nowNanos) {
    ImmutableList<ModelDeployment> deployments = input.bundle().deployments(pool);
    List<String> engines =
        input.directory().inPool(pool).stream()
            .filter(upstream -> !upstream.leaving())
            .map(UpstreamRecord::name)
            .toList();
    ImmutableMap<String, EngineTarget> targets = DesiredPlacement.assign(deployments, engines);
    int disruptionBudget = disruptionBudget(pool, engines, input, nowNanos);
    List<EngineOrder> orders = new ArrayList<>();
    for (String engine : RendezvousHash.rank(pool, targets.keySet())) {
      Optional<EngineState> state = freshState(engine, input, nowNanos);
      if (state.isEmpty() || state.get().loading() || state.get().satisfies(targets.get(engine))) {
        continue;
      }
      boolean alreadyOutOfService = state.get().model().isEmpty();
      if (!alreadyOutOfService && disruptionBudget-- <= 0) {
        break;
      }
      if (isAssignedToThisNode(engine, input.liveNodes())) {
        orders.add(createOrder(pool, targets.get(engine), state.get(), input, nowNanos));
      }
    }
    return orders;
  }

  private EngineOrder createOrder(
      String pool, EngineTarget target, EngineState state, PlanInput input, long nowNanos) {
    guard.onOrder(pool, input.goodputByPool().get(pool));
    orderedAtNanos.put(state.engine(), nowNanos);
    long number = FencingNumber.next(state.highestFencingNumber(), self.id());
    return new EngineOrder(state.engine(), target, number);
  }

  private boolean isAssignedToThisNode(String engine, ImmutableSet<String> liveNodes) {
    return RendezvousHash.pick(engine, liveNodes).equals(Optional.of(self.node()));
  }

  /** Returns how many more engines may be taken out of service without delaying urgent work. */
  private int disruptionBudget(String pool, List<String> engines, PlanInput input, long nowNanos) {
    int unavailableCount = 0;
    for (String engine : engines) {
      Optional<EngineState> state = freshState(engine, input, nowNanos);
      if (state.isEmpty() || state.get().loading() || state.get().model().isEmpty()) {
        unavailableCount++;
      }
    }
    double urgentLoad = input.urgentLoadByPool().getOrDefault(pool, 0.0);
    int requiredEngines = (int) Math.ceil(engines.size() * urgentLoad / MAX_URGENT_UTILIZATION);
    int maxUnavailable = Math.max(1, (int) (engines.size() * MAX_UNAVAILABLE_FRACTION));
    return Math.min(maxUnavailable, engines.size() - requiredEngines) - unavailableCount;
  }

  /**
   * Returns the state of an engine, or empty if the state is outdated.
   *
   * <p>After an order to the engine, a state read before that order is outdated as well.
   */
  private Optional<EngineState> freshState(String engine, PlanInput input, long nowNanos) {
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
