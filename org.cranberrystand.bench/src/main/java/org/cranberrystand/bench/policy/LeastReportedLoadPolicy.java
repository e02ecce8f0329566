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
 * Baseline: FIFO order, each request to the upstream with the least reported load.
 *
 * <p>Requests dispatched since the last report count as load. Otherwise all requests would go to
 * one upstream until its next report.
 */
final class LeastReportedLoadPolicy extends BaselinePolicy {
  private final Map<String, Integer> loadByUpstream = new HashMap<>();

  @Override
  Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates) {
    return candidates.stream()
        .min(
            Comparator.<UpstreamRecord>comparingInt(u -> loadByUpstream.getOrDefault(u.name(), 0))
                .thenComparing(UpstreamRecord::name));
  }

  @Override
  void recordLoad(SchedulerEvent.LoadReported report) {
    loadByUpstream.put(
        report.upstream(), report.report().runningSequences() + report.report().waitingSequences());
  }

  @Override
  void recordDispatch(String upstream) {
    loadByUpstream.merge(upstream, 1, Integer::sum);
  }
}
