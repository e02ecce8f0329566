package org.cranberrystand.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Simulated model engine with continuous batching and chunked prefill.
 *
 * <p>Requests join the batch in FIFO order. Each step computes one chunk of prompt tokens, oldest
 * prompt first, and one token for each decoding sequence.
 */
final class SimEngine implements SimUpstream {
  private static final double NANOS_PER_MICRO = 1e3;

  private final UpstreamRecord record;
  private final EngineModel model;
  private final Simulation simulation;
  private final PrefixCache cache;
  private final ArrayDeque<SimRequest> waiting = new ArrayDeque<>();
  private final List<SimRequest> batch = new ArrayList<>();
  private long reservedKvTokens;
  private long admittedTokens;
  private double slowdownFactor = 1;
  private boolean stepInProgress;

  SimEngine(UpstreamRecord record, EngineModel model, Simulation simulation) {
    this.record = record;
    this.model = model;
    this.simulation = simulation;
    this.cache = new PrefixCache(model.prefixCacheBlocks());
  }

  @Override
  public UpstreamRecord record() {
    return record;
  }

  EngineModel model() {
    return model;
  }

  /** Returns the number of prompt tokens of a request that are in the prefix cache. */
  int cachedTokens(SimRequest request) {
    return Math.min(
        cache.matchPrefix(request.item.prefixBlocks()) * EngineModel.BLOCK_TOKENS,
        request.item.promptTokens() - 1);
  }

  /** Returns the number of prompt tokens still to be computed for accepted requests. */
  long prefillBacklogTokens() {
    long sum = 0;
    for (SimRequest request : batch) {
      sum += request.remainingPrefillTokens;
    }
    for (SimRequest request : waiting) {
      sum += request.item.promptTokens() - cachedTokens(request);
    }
    return sum;
  }

  int sequenceCount() {
    return batch.size() + waiting.size();
  }

  double slowdownFactor() {
    return slowdownFactor;
  }

  @Override
  public void accept(SimRequest request) {
    waiting.add(request);
    admittedTokens += request.costTokens();
    startStep();
  }

  @Override
  public void cancel(SimRequest request) {
    if (waiting.remove(request)) {
      admittedTokens -= request.costTokens();
    } else if (batch.remove(request)) {
      reservedKvTokens -= request.costTokens();
      admittedTokens -= request.costTokens();
    }
  }

  @Override
  public void slowDown(double factor) {
    slowdownFactor = factor;
  }

  @Override
  public LoadReport loadReport(long nowNanos) {
    long totalContextTokens = 0;
    for (SimRequest request : batch) {
      totalContextTokens += contextTokens(request);
    }
    return new LoadReport(nowNanos, batch.size(), waiting.size(), totalContextTokens, false);
  }

  @Override
  public PrefixCache.Changes takeCacheChanges() {
    return cache.takeChanges();
  }

  @Override
  public long admittedTokens() {
    return admittedTokens;
  }

  private static long contextTokens(SimRequest request) {
    return (long) request.item.promptTokens()
        - request.remainingPrefillTokens
        + request.producedTokens;
  }

  private void startStep() {
    if (stepInProgress) {
      return;
    }
    admit();
    if (batch.isEmpty()) {
      return;
    }
    stepInProgress = true;
    int chunkTokensLeft = model.maxChunkTokens();
    int decodingSequences = 0;
    long totalContextTokens = 0;
    List<SimRequest> producing = new ArrayList<>();
    for (SimRequest request : batch) {
      if (request.remainingPrefillTokens == 0) {
        decodingSequences++;
        totalContextTokens += contextTokens(request);
        producing.add(request);
      } else if (chunkTokensLeft > 0) {
        int computed = Math.min(chunkTokensLeft, request.remainingPrefillTokens);
        chunkTokensLeft -= computed;
        request.remainingPrefillTokens -= computed;
        if (request.remainingPrefillTokens == 0) {
          producing.add(request);
        }
      }
    }
    double micros =
        model.stepMicros(
            decodingSequences, totalContextTokens, model.maxChunkTokens() - chunkTokensLeft);
    simulation.scheduleAfter(
        (long) (micros * slowdownFactor * NANOS_PER_MICRO), () -> finishStep(producing));
  }

  /**
   * Moves waiting requests to the batch while it has free sequences and KV cache.
   *
   * <p>An empty batch takes a request of any size.
   */
  private void admit() {
    while (!waiting.isEmpty() && batch.size() < model.maxSequences()) {
      SimRequest next = waiting.peek();
      if (!batch.isEmpty() && reservedKvTokens + next.costTokens() > model.kvCacheTokens()) {
        return;
      }
      waiting.remove();
      reservedKvTokens += next.costTokens();
      int hits = cache.matchAndTouchPrefix(next.item.prefixBlocks());
      next.cachedTokens = Math.min(hits * EngineModel.BLOCK_TOKENS, next.item.promptTokens() - 1);
      next.remainingPrefillTokens = next.item.promptTokens() - next.cachedTokens;
      batch.add(next);
    }
  }

  private void finishStep(List<SimRequest> producing) {
    stepInProgress = false;
    for (SimRequest request : producing) {
      if (request.cancelled) {
        continue;
      }
      if (request.producedTokens == 0) {
        simulation.recordPrefill(request);
        cache.store(request.item.prefixBlocks());
      }
      request.producedTokens++;
      simulation.recordToken(request);
    }
    removeFinished();
    startStep();
  }

  private void removeFinished() {
    List<SimRequest> finished = new ArrayList<>();
    for (Iterator<SimRequest> requests = batch.iterator(); requests.hasNext(); ) {
      SimRequest request = requests.next();
      if (request.producedTokens >= request.outputTokens) {
        requests.remove();
        reservedKvTokens -= request.costTokens();
        admittedTokens -= request.costTokens();
        finished.add(request);
      }
    }
    finished.forEach(simulation::recordFinish);
  }
}
