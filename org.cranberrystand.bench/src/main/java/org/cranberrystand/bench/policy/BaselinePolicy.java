package org.cranberrystand.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Base of the baseline policies: bounded FIFO queues per pool and a concurrency limit per upstream.
 */
abstract class BaselinePolicy implements DispatchPolicy {
  /** Maximum number of concurrent requests to one upstream. */
  static final int MAX_IN_FLIGHT_PER_UPSTREAM = 32;

  private static final int MAX_QUEUED_PER_POOL = 1_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Map<Long, String> upstreamByKey = new HashMap<>();
  private final Map<String, Integer> inFlightByUpstream = new HashMap<>();
  private final Map<String, ArrayDeque<WorkItem>> queuesByName = new HashMap<>();
  private UpstreamDirectory directory = UpstreamDirectory.empty();

  /** Chooses one of the upstreams that are below {@link #MAX_IN_FLIGHT_PER_UPSTREAM}. */
  abstract Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates);

  /** Returns the name of the queue for an item; queues are served in the order of names. */
  String queueName(WorkItem item) {
    return item.kind().pool();
  }

  /**
   * Removes and returns a queued item to make room for a new one when the pool is full.
   *
   * <p>Returns empty to reject the new item, as the default does.
   */
  Optional<WorkItem> evictFor(WorkItem item, Map<String, ArrayDeque<WorkItem>> queuesByName) {
    return Optional.empty();
  }

  /** Called for every load report. */
  void recordLoad(SchedulerEvent.LoadReported report) {}

  /** Called for every dispatch. */
  void recordDispatch(String upstream) {}

  final int inFlight(String upstream) {
    return inFlightByUpstream.getOrDefault(upstream, 0);
  }

  @Override
  public final List<SchedulerAction> handle(SchedulerEvent event) {
    List<SchedulerAction> actions = new ArrayList<>();
    if (event instanceof SchedulerEvent.Submitted submitted) {
      enqueue(submitted.item(), actions);
    } else if (event instanceof SchedulerEvent.Finished finished) {
      inFlightByUpstream.merge(upstreamByKey.remove(finished.key()), -1, Integer::sum);
    } else if (event instanceof SchedulerEvent.DirectoryChanged changed) {
      directory = changed.directory();
    } else if (event instanceof SchedulerEvent.LoadReported report) {
      recordLoad(report);
    } else {
      return actions;
    }
    queuesByName.keySet().stream()
        .sorted()
        .forEach(name -> dispatchFrom(queuesByName.get(name), actions));
    return actions;
  }

  private void enqueue(WorkItem item, List<SchedulerAction> actions) {
    int queued =
        queuesByName.values().stream()
            .flatMap(ArrayDeque::stream)
            .mapToInt(i -> i.kind().pool().equals(item.kind().pool()) ? 1 : 0)
            .sum();
    if (queued >= MAX_QUEUED_PER_POOL) {
      Optional<WorkItem> evicted = evictFor(item, queuesByName);
      WorkItem rejected = evicted.orElse(item);
      NotRunReason reason = evicted.isPresent() ? NotRunReason.EVICTED : NotRunReason.OVERLOADED;
      actions.add(new SchedulerAction.Reject(rejected, reason, RETRY_AFTER_MILLIS));
      if (evicted.isEmpty()) {
        return;
      }
    }
    queuesByName.computeIfAbsent(queueName(item), name -> new ArrayDeque<>()).add(item);
  }

  private void dispatchFrom(ArrayDeque<WorkItem> queue, List<SchedulerAction> actions) {
    while (!queue.isEmpty()) {
      List<UpstreamRecord> candidates =
          directory.inPool(queue.peek().kind().pool()).stream()
              .filter(u -> inFlight(u.name()) < MAX_IN_FLIGHT_PER_UPSTREAM)
              .toList();
      Optional<UpstreamRecord> chosen =
          candidates.isEmpty() ? Optional.empty() : choose(queue.peek(), candidates);
      if (chosen.isEmpty()) {
        return;
      }
      WorkItem item = queue.remove();
      String upstream = chosen.get().name();
      upstreamByKey.put(item.key(), upstream);
      inFlightByUpstream.merge(upstream, 1, Integer::sum);
      recordDispatch(upstream);
      actions.add(new SchedulerAction.Dispatch(item, chosen.get()));
    }
  }
}
