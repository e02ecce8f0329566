package org.cranberrystand.bench.policy;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;

/** Baseline: strict priority by tier, without shares for tiers or teams. */
final class StrictPriorityPolicy extends BaselinePolicy {

  @Override
  String queueName(WorkItem item) {
    return item.kind().pool() + "/" + item.tier().compareTo(Tier.URGENT);
  }

  @Override
  Optional<WorkItem> evictFor(WorkItem item, Map<String, ArrayDeque<WorkItem>> queuesByName) {
    return queuesByName.values().stream()
        .filter(queue -> !queue.isEmpty())
        .map(ArrayDeque::peekLast)
        .filter(last -> last.kind().pool().equals(item.kind().pool()))
        .filter(last -> last.tier().isLessUrgentThan(item.tier()))
        .max(Comparator.comparing(WorkItem::tier))
        .map(last -> queuesByName.get(queueName(last)).removeLast());
  }

  @Override
  Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates) {
    return candidates.stream()
        .min(
            Comparator.<UpstreamRecord>comparingInt(u -> inFlight(u.name()))
                .thenComparing(UpstreamRecord::name));
  }
}
