package org.cranberrystand.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Model engine with continuous batching and chunked prefill.
 *
 * <p>Requests enter the batch in the order of arrival. A step computes one chunk of prompt tokens,
 * the oldest prompt first, and one token of each decoding sequence.
 */
final class SimEngine implements SimUpstream {
  private static final double NANOS_PER_MICRO = 1e3;

  private final UpstreamRecord record;
  private final EngineModel model;
  private final Simulation simulation;
  private final PrefixCache cache;
  private final ArrayDeque<SimRequest> waiting = new ArrayDeque<>();
  private final List<SimRequest> batch = new ArrayList<>();
  private long reservedTokens;
  private long admittedTokens;
  private double slowFactor = 1;
  private boolean stepping;

  SimEngine(UpstreamRecord record, EngineModel model, Simulation simulation) {
    this.record = record;
    this.model = model;
    this.simulation = simulation;
    this.cache = new PrefixCache(model.cacheBlocks());
  }

  @Override
  public UpstreamRecord record() {
    return record;
  }

  EngineModel model() {
    return model;
  }

  /** Returns the prompt tokens of a request that are cached now. */
  int cachedTokens(SimRequest request) {
    return Math.min(
        cache.peek(request.item.prefixBlocks()) * EngineModel.BLOCK_TOKENS,
        request.item.promptTokens() - 1);
  }

  /** Returns prompt tokens still to be computed for accepted requests. */
  long prefillBacklogTokens() {
    long sum = 0;
    for (SimRequest request : batch) {
      sum += request.prefillLeft;
    }
    for (SimRequest request : waiting) {
      sum += request.item.promptTokens() - cachedTokens(request);
    }
    return sum;
  }

  int sequences() {
    return batch.size() + waiting.size();
  }

  double slowFactor() {
    return slowFactor;
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
      reservedTokens -= request.costTokens();
      admittedTokens -= request.costTokens();
    }
  }

  @Override
  public void slowDown(double factor) {
    slowFactor = factor;
  }

  @Override
  public LoadReport loadReport(long nowNanos) {
    long context = 0;
    for (SimRequest request : batch) {
      context += contextOf(request);
    }
    return new LoadReport(nowNanos, batch.size(), waiting.size(), context, false);
  }

  @Override
  public PrefixCache.Changes takeCacheChanges() {
    return cache.takeChanges();
  }

  @Override
  public long admittedTokens() {
    return admittedTokens;
  }

  private static long contextOf(SimRequest request) {
    return (long) request.item.promptTokens() - request.prefillLeft + request.produced;
  }

  private void startStep() {
    if (stepping) {
      return;
    }
    admit();
    if (batch.isEmpty()) {
      return;
    }
    stepping = true;
    int chunkLeft = model.chunkTokens();
    int decoding = 0;
    long context = 0;
    List<SimRequest> producing = new ArrayList<>();
    for (SimRequest request : batch) {
      if (request.prefillLeft == 0) {
        decoding++;
        context += contextOf(request);
        producing.add(request);
      } else if (chunkLeft > 0) {
        int computed = Math.min(chunkLeft, request.prefillLeft);
        chunkLeft -= computed;
        request.prefillLeft -= computed;
        if (request.prefillLeft == 0) {
          producing.add(request);
        }
      }
    }
    double micros = model.stepMicros(decoding, context, model.chunkTokens() - chunkLeft);
    simulation.after((long) (micros * slowFactor * NANOS_PER_MICRO), () -> endStep(producing));
  }

  private void admit() {
    while (!waiting.isEmpty() && batch.size() < model.maxSequences()) {
      SimRequest next = waiting.peek();
      if (!batch.isEmpty() && reservedTokens + next.costTokens() > model.kvTokens()) {
        return;
      }
      waiting.remove();
      reservedTokens += next.costTokens();
      int hits = cache.use(next.item.prefixBlocks());
      next.cachedTokens = Math.min(hits * EngineModel.BLOCK_TOKENS, next.item.promptTokens() - 1);
      next.prefillLeft = next.item.promptTokens() - next.cachedTokens;
      batch.add(next);
    }
  }

  private void endStep(List<SimRequest> producing) {
    stepping = false;
    for (SimRequest request : producing) {
      if (request.cancelled) {
        continue;
      }
      if (request.produced == 0) {
        simulation.prefillComputed(request);
        cache.store(request.item.prefixBlocks());
      }
      request.produced++;
      simulation.tokenProduced(request);
    }
    removeFinished();
    startStep();
  }

  private void removeFinished() {
    List<SimRequest> finished = new ArrayList<>();
    for (Iterator<SimRequest> requests = batch.iterator(); requests.hasNext(); ) {
      SimRequest request = requests.next();
      if (request.produced >= request.outputTokens) {
        requests.remove();
        reservedTokens -= request.costTokens();
        admittedTokens -= request.costTokens();
        finished.add(request);
      }
    }
    finished.forEach(simulation::finished);
  }
}
