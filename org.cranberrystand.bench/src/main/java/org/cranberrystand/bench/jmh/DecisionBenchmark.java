package org.cranberrystand.bench.jmh;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time that the scheduler spends per request: one arrival, one dispatch and one completion. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {
  /** Number of engines that the node uses. */
  @Param({"8", "54", "3100"})
  public int engines;

  /** Number of teams; they send requests in rotation. */
  @Param({"5", "24000"})
  public int teams;

  /** Number of requests that stay queued. */
  @Param({"0", "10000"})
  public int queued;

  private SchedulerLoad load;

  /** Creates the scheduler and fills its queue. */
  @Setup(Level.Trial)
  public void setUp() {
    load = new SchedulerLoad(engines, teams);
    load.fillQueue(queued);
  }

  /**
   * Submits one request and completes another one.
   *
   * @return the number of scheduler actions
   */
  @Benchmark
  public int decide() {
    return load.decide();
  }
}
