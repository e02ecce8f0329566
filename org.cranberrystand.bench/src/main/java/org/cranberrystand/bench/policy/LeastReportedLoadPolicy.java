package org.cranberrystand.bench.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Baseline: first come, first served, to the upstream with the least reported load.
 *
 * <p>Requests sent since the last report are added to it, since otherwise all of them would go to
 * one upstream until the next report.
 */
final class LeastReportedLoadPolicy extends BaselinePolicy {
  private final Map<String, Integer> load = new HashMap<>();

  @Override
  Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates) {
    return candidates.stream()
        .min(
            Comparator.<UpstreamRecord>comparingInt(u -> load.getOrDefault(u.name(), 0))
                .thenComparing(UpstreamRecord::name));
  }

  @Override
  void loadReported(SchedulerEvent.LoadReported report) {
    load.put(
        report.upstream(), report.report().runningSequences() + report.report().waitingSequences());
  }

  @Override
  void dispatched(String upstream) {
    load.merge(upstream, 1, Integer::sum);
  }
}
