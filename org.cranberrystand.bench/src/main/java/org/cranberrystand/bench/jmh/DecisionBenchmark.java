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

/** Time of one request at the scheduler: its arrival, one dispatch and the end of another one. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {
  /** Engines that the node uses. */
  @Param({"8", "54", "3100"})
  public int engines;

  /** Teams that send requests in turn. */
  @Param({"5", "24000"})
  public int teams;

  /** Requests that wait all the time. */
  @Param({"0", "10000"})
  public int queued;

  private SchedulerLoad load;

  /** Fills the scheduler. */
  @Setup(Level.Trial)
  public void setUp() {
    load = new SchedulerLoad(engines, teams);
    load.fillQueue(queued);
  }

  /**
   * Decides about one request.
   *
   * @return the number of actions
   */
  @Benchmark
  public int decide() {
    return load.decide();
  }
}
