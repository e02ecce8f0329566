package org.cranberrystand.bench.policy;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayDeque;
import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamRecord;

/** Simulated plain service with a fixed number of workers and a FIFO queue. */
final class SimService implements SimUpstream {
  /** Maximum number of concurrent calls. */
  static final int WORKERS = 8;

  private static final PrefixCache.Changes NO_CHANGES =
      new PrefixCache.Changes(ImmutableLongArray.of(), ImmutableLongArray.of());

  private final UpstreamRecord record;
  private final Simulation simulation;
  private final ArrayDeque<SimRequest> waiting = new ArrayDeque<>();
  private int runningCalls;
  private double slowdownFactor = 1;

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
    slowdownFactor = factor;
  }

  @Override
  public LoadReport loadReport(long nowNanos) {
    return new LoadReport(nowNanos, runningCalls, waiting.size(), 0, false);
  }

  @Override
  public PrefixCache.Changes takeCacheChanges() {
    return NO_CHANGES;
  }

  @Override
  public long admittedTokens() {
    return (long) runningCalls + waiting.size();
  }

  private void startCalls() {
    while (runningCalls < WORKERS && !waiting.isEmpty()) {
      SimRequest request = waiting.remove();
      runningCalls++;
      simulation.scheduleAfter(
          (long) (request.serviceNanos * slowdownFactor), () -> finishCall(request));
    }
  }

  private void finishCall(SimRequest request) {
    runningCalls--;
    request.firstTokenNanos = simulation.nowNanos();
    simulation.recordFinish(request);
    startCalls();
  }
}
