package org.cranberrystand.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * The dispatch policy of a node.
 *
 * <p>Not thread-safe.
 */
public final class Scheduler implements DispatchPolicy {
  private static final int MAX_RUNNING_PER_UPSTREAM = 16;
  private static final int MAX_QUEUED = 1_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private record Running(WorkItem item, String upstream) {}

  private final Map<Tier, ArrayDeque<WorkItem>> queues = new EnumMap<>(Tier.class);
  private final Map<Long, Running> running = new HashMap<>();
  private final Map<String, Integer> runningPerUpstream = new HashMap<>();
  private UpstreamDirectory directory = UpstreamDirectory.empty();
  private boolean draining;

  /** Creates a scheduler without upstreams. */
  public Scheduler() {
    for (Tier tier : Tier.values()) {
      queues.put(tier, new ArrayDeque<>());
    }
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event) {
    List<SchedulerAction> actions = new ArrayList<>();
    if (event instanceof SchedulerEvent.Submitted submitted) {
      submit(submitted.item(), actions);
    } else if (event instanceof SchedulerEvent.Finished finished) {
      release(finished.key());
    } else if (event instanceof SchedulerEvent.ConnectionBroken broken) {
      release(broken.key());
    } else if (event instanceof SchedulerEvent.Refused refused) {
      Running entry = release(refused.key());
      if (entry != null) {
        actions.add(
            new SchedulerAction.Reject(entry.item(), NotRunReason.REFUSED, RETRY_AFTER_MILLIS));
      }
    } else if (event instanceof SchedulerEvent.DirectoryChanged changed) {
      directory = changed.directory();
    } else if (event instanceof SchedulerEvent.DrainStarted) {
      draining = true;
    }
    dispatchQueued(actions);
    return actions;
  }

  private void submit(WorkItem item, List<SchedulerAction> actions) {
    if (draining) {
      actions.add(new SchedulerAction.Reject(item, NotRunReason.LEAVING, 0));
    } else if (queues.values().stream().mapToInt(ArrayDeque::size).sum() >= MAX_QUEUED) {
      actions.add(new SchedulerAction.Reject(item, NotRunReason.OVERLOADED, RETRY_AFTER_MILLIS));
    } else {
      queues.get(item.tier()).add(item);
    }
  }

  private void dispatchQueued(List<SchedulerAction> actions) {
    for (ArrayDeque<WorkItem> queue : queues.values()) {
      while (!queue.isEmpty()) {
        Optional<UpstreamRecord> upstream = leastLoaded(queue.peek().kind().pool());
        if (upstream.isEmpty()) {
          break;
        }
        WorkItem item = queue.remove();
        running.put(item.key(), new Running(item, upstream.get().name()));
        runningPerUpstream.merge(upstream.get().name(), 1, Integer::sum);
        actions.add(new SchedulerAction.Dispatch(item, upstream.get()));
      }
    }
  }

  private Optional<UpstreamRecord> leastLoaded(String pool) {
    return directory.inPool(pool).stream()
        .filter(u -> !u.leaving() && runningOn(u) < MAX_RUNNING_PER_UPSTREAM)
        .min(Comparator.comparingInt(this::runningOn));
  }

  private int runningOn(UpstreamRecord upstream) {
    return runningPerUpstream.getOrDefault(upstream.name(), 0);
  }

  private Running release(long key) {
    Running entry = running.remove(key);
    if (entry != null) {
      runningPerUpstream.merge(entry.upstream(), -1, Integer::sum);
    }
    return entry;
  }
}
