package org.cranberrystand.daemon.internal;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cranberrystand.event.LogEvent;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;

/**
 * Runs one-time and periodic background calls with jittered delays until it is closed.
 *
 * <p>Safe for use by several threads.
 */
final class TaskRunner implements AutoCloseable {
  /** Delay that ends the repetition of a periodic call. */
  static final Duration STOP = Duration.ofMillis(-1);

  private static final double JITTER_FRACTION = 0.2;

  private final ExecController exec;
  private final EventLog log;
  private final Random random;
  private volatile boolean closed;

  TaskRunner(ExecController exec, EventLog log, Random random) {
    this.exec = exec;
    this.log = log;
    this.random = random;
  }

  @Override
  public void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** Runs a call once in its own execution and logs its failure. */
  void run(String task, Supplier<Promise<?>> call) {
    if (!closed) {
      exec.fork()
          .onError(cause -> logFailure(task, cause))
          .start(execution -> call.get().then(ignored -> {}));
    }
  }

  /** Runs a task once after a delay. */
  void runAfter(long delayMillis, Runnable task) {
    if (!closed) {
      exec.getExecutor().schedule(task, delayMillis, TimeUnit.MILLISECONDS).isDone();
    }
  }

  /**
   * Runs a call repeatedly, each time after the delay that the previous run returned, until it
   * returns {@link #STOP}. After a failure, which is logged, the call runs again in 1 s.
   */
  void runPeriodically(String task, Duration firstDelay, Supplier<Promise<Duration>> call) {
    if (closed || firstDelay.isNegative()) {
      return;
    }
    long delayMillis = jitter(firstDelay);
    exec.getExecutor()
        .schedule(() -> runAndReschedule(task, call), delayMillis, TimeUnit.MILLISECONDS)
        .isDone();
  }

  private void runAndReschedule(String task, Supplier<Promise<Duration>> call) {
    if (closed) {
      return;
    }
    exec.fork()
        .start(
            execution ->
                Promise.flatten(call::get)
                    .mapError(
                        cause -> {
                          logFailure(task, cause);
                          return Duration.ofSeconds(1);
                        })
                    .then(delay -> runPeriodically(task, delay, call)));
  }

  private void logFailure(String task, Throwable cause) {
    if (!closed) {
      log.write(LogEvent.TASK_FAILED, "task=" + task, cause);
    }
  }

  private long jitter(Duration delay) {
    double factor = 1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble();
    return (long) (delay.toMillis() * factor);
  }
}
