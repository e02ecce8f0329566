package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.membership.LoadSummary;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.SchedulerStatistics;
import ratpack.exec.ExecController;

/**
 * Feeds periodic ticks to the scheduler and publishes its load and suspect content to other nodes.
 *
 * <p>Safe for use by several threads.
 */
public final class SchedulerTimer implements AutoCloseable {
  private static final long TICK_MILLIS = 100;
  private static final int TICKS_PER_PUBLICATION = 10;

  private final NodeState state;
  private final SchedulerLoop loop;
  private final Scheduler scheduler;
  private final MembershipService membership;
  private final AtomicReference<SchedulerStatistics> statistics = new AtomicReference<>();
  private volatile ScheduledFuture<?> timer;
  private int tickCount;

  /**
   * Creates a timer.
   *
   * @param state the state of the node
   * @param loop feeds the scheduler
   * @param scheduler the scheduler; read only while it handles no event
   * @param membership publishes the load and the suspect content
   */
  public SchedulerTimer(
      NodeState state, SchedulerLoop loop, Scheduler scheduler, MembershipService membership) {
    this.state = state;
    this.loop = loop;
    this.scheduler = scheduler;
    this.membership = membership;
    this.statistics.set(scheduler.statistics(state.clock().nowNanos()));
  }

  /**
   * Starts the timer.
   *
   * @param exec runs the tickCount
   */
  public void start(ExecController exec) {
    timer =
        exec.getExecutor()
            .scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the statistics of the scheduler.
   *
   * @return the statistics at the last publication, which happens each second
   */
  public SchedulerStatistics statistics() {
    return statistics.get();
  }

  /**
   * Returns the urgent load and the goodput of each pool, for the planning of engine orders.
   *
   * @param policy observes the requests of the scheduler
   * @return the health of the pools on this node
   */
  public EngineOrders.PoolHealth poolHealth(ObservedPolicy policy) {
    Map<String, Double> capacityByPool = new HashMap<>();
    for (SchedulerStatistics.UpstreamStatistics upstream : statistics.get().upstreams()) {
      capacityByPool.merge(
          upstream.pool(), upstream.windowSequences() * upstream.share(), Double::sum);
    }
    ImmutableMap.Builder<String, Double> urgentLoadByPool = ImmutableMap.builder();
    policy
        .poolHealth()
        .urgentRunningByPool()
        .forEach(
            (pool, runningCount) ->
                urgentLoadByPool.put(
                    pool,
                    Math.min(
                        1, runningCount / Math.max(1, capacityByPool.getOrDefault(pool, 0.0)))));
    return new EngineOrders.PoolHealth(
        urgentLoadByPool.buildOrThrow(), policy.poolHealth().goodputByPool());
  }

  @Override
  public void close() {
    ScheduledFuture<?> current = timer;
    if (current != null) {
      current.cancel(false);
    }
  }

  private void tick() {
    loop.feed(new SchedulerEvent.Tick(state.clock().nowNanos()));
    tickCount++;
    if (tickCount % TICKS_PER_PUBLICATION == 0) {
      loop.inspect(this::publish);
    }
  }

  private void publish() {
    long now = state.clock().nowNanos();
    statistics.set(scheduler.statistics(now));
    SchedulerEvent.PeerLoad load = scheduler.ownLoad(now);
    membership.publishLoad(
        LoadSummary.idle(state.settings().node(), 0)
            .withLoad(
                load.backlogTokens(),
                load.roomTokens(),
                load.teamTokensPerSecond(),
                load.demandTokensPerSecond()));
    membership.publishContent(
        scheduler.poisonRegistry().quarantined(now), scheduler.poisonRegistry().suspects(now));
  }
}
