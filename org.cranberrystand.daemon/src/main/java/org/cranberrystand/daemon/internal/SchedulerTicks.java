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
 * Tells the scheduler that time passes and publishes its load and suspect content to other nodes.
 *
 * <p>Safe for use by several threads.
 */
public final class SchedulerTicks implements AutoCloseable {
  private static final long TICK_MILLIS = 100;
  private static final int TICKS_PER_PUBLICATION = 10;

  private final NodeState state;
  private final SchedulerLoop loop;
  private final Scheduler scheduler;
  private final MembershipService membership;
  private final AtomicReference<SchedulerStatistics> statistics = new AtomicReference<>();
  private volatile ScheduledFuture<?> timer;
  private int ticks;

  /**
   * Creates ticks.
   *
   * @param state the state of the node
   * @param loop feeds the scheduler
   * @param scheduler the scheduler; read only between its events
   * @param membership publishes load and content
   */
  public SchedulerTicks(
      NodeState state, SchedulerLoop loop, Scheduler scheduler, MembershipService membership) {
    this.state = state;
    this.loop = loop;
    this.scheduler = scheduler;
    this.membership = membership;
    this.statistics.set(scheduler.statistics(state.clock().nowNanos()));
  }

  /**
   * Starts to tick.
   *
   * @param exec runs the ticks
   */
  public void start(ExecController exec) {
    timer =
        exec.getExecutor()
            .scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the figures of the scheduler.
   *
   * @return the figures at the last publication
   */
  public SchedulerStatistics statistics() {
    return statistics.get();
  }

  /**
   * Returns how well each pool is served, for orders to engines.
   *
   * @param policy observes the requests of the scheduler
   * @return the service of each pool on this node
   */
  public EngineOrders.PoolHealth poolHealth(ObservedPolicy policy) {
    Map<String, Double> capacity = new HashMap<>();
    for (SchedulerStatistics.UpstreamStatistics upstream : statistics.get().upstreams()) {
      capacity.merge(upstream.pool(), upstream.windowSequences() * upstream.share(), Double::sum);
    }
    ImmutableMap.Builder<String, Double> urgentLoad = ImmutableMap.builder();
    policy
        .health()
        .urgentRunningByPool()
        .forEach(
            (pool, running) ->
                urgentLoad.put(
                    pool, Math.min(1, running / Math.max(1, capacity.getOrDefault(pool, 0.0)))));
    return new EngineOrders.PoolHealth(urgentLoad.buildOrThrow(), policy.health().goodputByPool());
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
    ticks++;
    if (ticks % TICKS_PER_PUBLICATION == 0) {
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
