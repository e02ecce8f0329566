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

/** Bounded first-come queues per pool and a limit of requests per upstream. */
abstract class BaselinePolicy implements DispatchPolicy {
  /** Requests sent to one upstream at the same time. */
  static final int MAX_IN_FLIGHT = 32;

  private static final int MAX_QUEUED = 1_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Map<Long, String> running = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Map<String, ArrayDeque<WorkItem>> queues = new HashMap<>();
  private UpstreamDirectory directory = UpstreamDirectory.empty();

  /** Chooses an upstream among those below the limit. */
  abstract Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates);

  /** Returns the queue of an item. */
  String queueOf(WorkItem item) {
    return item.kind().pool();
  }

  /** Makes room in full queues; the default rejects the newcomer. */
  Optional<WorkItem> evictFor(WorkItem item, Map<String, ArrayDeque<WorkItem>> allQueues) {
    return Optional.empty();
  }

  /** Observes a load report. */
  void loadReported(SchedulerEvent.LoadReported report) {}

  /** Observes a dispatch. */
  void dispatched(String upstream) {}

  final int inFlight(String upstream) {
    return inFlight.getOrDefault(upstream, 0);
  }

  @Override
  public final List<SchedulerAction> handle(SchedulerEvent event) {
    List<SchedulerAction> actions = new ArrayList<>();
    if (event instanceof SchedulerEvent.Submitted submitted) {
      enqueue(submitted.item(), actions);
    } else if (event instanceof SchedulerEvent.Finished finished) {
      inFlight.merge(running.remove(finished.key()), -1, Integer::sum);
    } else if (event instanceof SchedulerEvent.DirectoryChanged changed) {
      directory = changed.directory();
    } else if (event instanceof SchedulerEvent.LoadReported report) {
      loadReported(report);
    } else {
      return actions;
    }
    queues.keySet().stream().sorted().forEach(name -> dispatchFrom(queues.get(name), actions));
    return actions;
  }

  private void enqueue(WorkItem item, List<SchedulerAction> actions) {
    int queued =
        queues.values().stream()
            .flatMap(ArrayDeque::stream)
            .mapToInt(i -> i.kind().pool().equals(item.kind().pool()) ? 1 : 0)
            .sum();
    if (queued >= MAX_QUEUED) {
      Optional<WorkItem> evicted = evictFor(item, queues);
      WorkItem shed = evicted.orElse(item);
      NotRunReason reason = evicted.isPresent() ? NotRunReason.EVICTED : NotRunReason.OVERLOADED;
      actions.add(new SchedulerAction.Reject(shed, reason, RETRY_AFTER_MILLIS));
      if (evicted.isEmpty()) {
        return;
      }
    }
    queues.computeIfAbsent(queueOf(item), name -> new ArrayDeque<>()).add(item);
  }

  private void dispatchFrom(ArrayDeque<WorkItem> queue, List<SchedulerAction> actions) {
    while (!queue.isEmpty()) {
      List<UpstreamRecord> candidates =
          directory.inPool(queue.peek().kind().pool()).stream()
              .filter(u -> inFlight(u.name()) < MAX_IN_FLIGHT)
              .toList();
      Optional<UpstreamRecord> chosen =
          candidates.isEmpty() ? Optional.empty() : choose(queue.peek(), candidates);
      if (chosen.isEmpty()) {
        return;
      }
      WorkItem item = queue.remove();
      String upstream = chosen.get().name();
      running.put(item.key(), upstream);
      inFlight.merge(upstream, 1, Integer::sum);
      dispatched(upstream);
      actions.add(new SchedulerAction.Dispatch(item, chosen.get()));
    }
  }
}
