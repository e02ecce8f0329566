package org.cranberrystand.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;

/** Baseline: FIFO order, with the upstreams of a pool in turn. */
final class RoundRobinPolicy extends BaselinePolicy {
  private final Map<String, Integer> turnsByPool = new HashMap<>();

  @Override
  Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates) {
    int turn = turnsByPool.merge(item.kind().pool(), 1, Integer::sum);
    return Optional.of(candidates.get(turn % candidates.size()));
  }
}
