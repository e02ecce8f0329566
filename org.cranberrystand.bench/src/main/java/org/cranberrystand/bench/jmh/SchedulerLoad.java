package org.cranberrystand.bench.jmh;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Team;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.SchedulerFeature;
import org.cranberrystand.schedule.SchedulerOptions;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.upstream.WindowSettings;

/** Scheduler in a steady state with a given number of engines, teams and queued requests. */
final class SchedulerLoad {
  /** Number of prefix blocks of each request. */
  static final int PREFIX_BLOCKS = 8;

  private static final String POOL = "engines";
  private static final int PROMPT_TOKENS = 1_100;
  private static final int OUTPUT_TOKENS = 60;
  private static final int MAX_QUEUED = 1_000_000;

  /** Small fixed windows, so that few requests saturate many engines. */
  private static final WindowSettings SMALL_WINDOWS =
      new WindowSettings(false, 4, 200_000, 62, 7, 600, 600_000);

  private static final int SHOPS = 64;
  private static final long EVENT_INTERVAL_NANOS = 20_000;

  private final Scheduler scheduler;
  private final ArrayDeque<Long> runningKeys = new ArrayDeque<>();
  private final int teams;
  private final WorkKind kind =
      WorkKind.builder("question").tier(Tier.URGENT).pool(POOL).repeatable(true).build();
  private long nextKey = 1;
  private long nowNanos = 1;
  private int queued;

  SchedulerLoad(int engines, int teams) {
    this.teams = teams;
    this.scheduler =
        new Scheduler(
            SchedulerOptions.builder()
                .queueLimits(MAX_QUEUED, Long.MAX_VALUE / 2)
                .windowSettings(SMALL_WINDOWS)
                .without(SchedulerFeature.EARLY_REJECTION)
                .build());
    scheduler.handle(new SchedulerEvent.BundleChanged(bundle(), nowNanos));
    scheduler.handle(new SchedulerEvent.DirectoryChanged(directory(engines), nowNanos));
    scheduler.handle(new SchedulerEvent.PeersChanged("node-1", ImmutableList.of(), nowNanos));
  }

  /** Submits requests until all windows are full and the given number is queued. */
  void fillQueue(int targetQueued) {
    while (queued < targetQueued) {
      submit();
    }
  }

  int queued() {
    return queued;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  /** Submits one request, finishes the oldest running one and returns the number of actions. */
  int decide() {
    int actions = submit();
    if (!runningKeys.isEmpty()) {
      actions += finishOldest();
    }
    return actions;
  }

  int submit() {
    nowNanos += EVENT_INTERVAL_NANOS;
    queued++;
    return applyActions(scheduler.handle(new SchedulerEvent.Submitted(nextItem(), nowNanos)));
  }

  private int finishOldest() {
    nowNanos += EVENT_INTERVAL_NANOS;
    long key = runningKeys.remove();
    return applyActions(scheduler.handle(new SchedulerEvent.Finished(key, true, nowNanos)));
  }

  private int applyActions(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.Dispatch dispatch) {
        runningKeys.add(dispatch.item().key());
        queued--;
      } else if (action instanceof SchedulerAction.Reject reject) {
        throw new IllegalStateException("rejected in steady state: " + reject.reason());
      }
    }
    return actions.size();
  }

  private WorkItem nextItem() {
    long key = nextKey++;
    int team = (int) (key % teams);
    ImmutableLongArray.Builder blocks = ImmutableLongArray.builder(PREFIX_BLOCKS);
    for (int i = 0; i < PREFIX_BLOCKS; i++) {
      blocks.add(key % SHOPS * PREFIX_BLOCKS + i);
    }
    return WorkItem.builder(key, kind)
        .shop("shop-" + team, "team-" + team)
        .tokens(PROMPT_TOKENS, OUTPUT_TOKENS)
        .prefixBlocks(blocks.build())
        .contentDigest("content-" + key)
        .times(nowNanos, Long.MAX_VALUE)
        .build();
  }

  private Bundle bundle() {
    Bundle.Builder builder =
        Bundle.builder(1)
            .addKind(kind)
            .addPool(new UpstreamPool(POOL, PoolType.MODEL, "assistant", true, ImmutableSet.of()));
    for (int i = 0; i < teams; i++) {
      builder.addTeam(new Team("team-" + i, 1));
    }
    return builder.build();
  }

  private static UpstreamDirectory directory(int engines) {
    List<UpstreamRecord> records = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      records.add(new UpstreamRecord("engine-" + i, POOL, "127.0.0.1:9000", "fd-" + i % 7, false));
    }
    return UpstreamDirectory.of(records);
  }
}
