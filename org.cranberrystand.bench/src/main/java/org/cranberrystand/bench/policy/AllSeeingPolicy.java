package org.cranberrystand.bench.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Reference for wasted prefill: one router that sees caches and backlogs of the engines as they
 * are.
 *
 * <p>It sends each request where its prefill would be complete first.
 */
final class AllSeeingPolicy extends BaselinePolicy {
  private final Simulation simulation;

  AllSeeingPolicy(Simulation simulation) {
    this.simulation = simulation;
  }

  @Override
  Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates) {
    return candidates.stream()
        .min(
            Comparator.<UpstreamRecord>comparingDouble(u -> delayMicros(item, u))
                .thenComparing(UpstreamRecord::name));
  }

  private double delayMicros(WorkItem item, UpstreamRecord upstream) {
    if (!(simulation.upstream(upstream.name()) instanceof SimEngine engine)) {
      return inFlight(upstream.name());
    }
    SimRequest request = simulation.request(item.key());
    EngineModel model = engine.model();
    int sequences = Math.max(engine.sequences(), inFlight(upstream.name()));
    double step = model.stepMicros(sequences, 0, model.chunkTokens());
    double missing = (double) item.promptTokens() - engine.cachedTokens(request);
    double chunks = (engine.prefillBacklogTokens() + missing) / model.chunkTokens();
    return step * (1 + chunks) * engine.slowFactor();
  }
}
