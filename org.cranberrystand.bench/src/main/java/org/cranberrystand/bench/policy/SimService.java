package org.cranberrystand.bench.policy;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayDeque;
import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamRecord;

/** Plain service with a fixed number of workers and a first-come queue. */
final class SimService implements SimUpstream {
  /** Calls processed at the same time. */
  static final int WORKERS = 8;

  private static final PrefixCache.Changes NO_CHANGES =
      new PrefixCache.Changes(ImmutableLongArray.of(), ImmutableLongArray.of());

  private final UpstreamRecord record;
  private final Simulation simulation;
  private final ArrayDeque<SimRequest> waiting = new ArrayDeque<>();
  private int running;
  private double slowFactor = 1;

  SimService(UpstreamRecord record, Simulation simulation) {
    this.record = record;
    this.simulation = simulation;
  }

  @Override
  public UpstreamRecord record() {
    return record;
  }

  @Override
  public void accept(SimRequest request) {
    waiting.add(request);
    startCalls();
  }

  @Override
  public void cancel(SimRequest request) {
    waiting.remove(request);
  }

  @Override
  public void slowDown(double factor) {
    slowFactor = factor;
  }

  @Override
  public LoadReport loadReport(long nowNanos) {
    return new LoadReport(nowNanos, running, waiting.size(), 0, false);
  }

  @Override
  public PrefixCache.Changes takeCacheChanges() {
    return NO_CHANGES;
  }

  @Override
  public long admittedTokens() {
    return (long) running + waiting.size();
  }

  private void startCalls() {
    while (running < WORKERS && !waiting.isEmpty()) {
      SimRequest request = waiting.remove();
      running++;
      simulation.after((long) (request.serviceNanos * slowFactor), () -> end(request));
    }
  }

  private void end(SimRequest request) {
    running--;
    request.firstTokenNanos = simulation.nowNanos();
    simulation.finished(request);
    startCalls();
  }
}
