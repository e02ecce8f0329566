package org.cranberrystand.bench.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Reference for the wasted-prefill measure: a single router with exact, undelayed knowledge of the
 * prefix caches and prefill backlogs of all engines.
 *
 * <p>Each request goes to the engine with the earliest estimated end of its prefill.
 */
final class OraclePolicy extends BaselinePolicy {
  private final Simulation simulation;

  OraclePolicy(Simulation simulation) {
    this.simulation = simulation;
  }

  @Override
  Optional<UpstreamRecord> choose(WorkItem item, List<UpstreamRecord> candidates) {
    return candidates.stream()
        .min(
            Comparator.<UpstreamRecord>comparingDouble(u -> estimatePrefillMicros(item, u))
                .thenComparing(UpstreamRecord::name));
  }

  /** Estimates the time until prefill ends; for a plain service, returns its running calls. */
  private double estimatePrefillMicros(WorkItem item, UpstreamRecord upstream) {
    if (!(simulation.upstream(upstream.name()) instanceof SimEngine engine)) {
      return inFlight(upstream.name());
    }
    SimRequest request = simulation.request(item.key());
    EngineModel model = engine.model();
    int sequenceCount = Math.max(engine.sequenceCount(), inFlight(upstream.name()));
    double stepMicros = model.stepMicros(sequenceCount, 0, model.maxChunkTokens());
    double uncachedTokens = (double) item.promptTokens() - engine.cachedTokens(request);
    double chunkCount = (engine.prefillBacklogTokens() + uncachedTokens) / model.maxChunkTokens();
    return stepMicros * (1 + chunkCount) * engine.slowdownFactor();
  }
}
