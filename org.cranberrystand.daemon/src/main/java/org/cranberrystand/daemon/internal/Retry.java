package org.cranberrystand.daemon.internal;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cranberrystand.event.LogEvent;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;

/**
 * Runs calls again and again, with a random variation of the pauses, until it is closed.
 *
 * <p>Safe for use by several threads.
 */
final class Retry implements AutoCloseable {
  /** Returned by a call that is not to be run again. */
  static final Duration STOP = Duration.ofMillis(-1);

  private static final double JITTER = 0.2;

  private final ExecController exec;
  private final EventLog log;
  private final Random random;
  private volatile boolean closed;

  Retry(ExecController exec, EventLog log, Random random) {
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

  /** Runs a call once, in an execution of its own; failures are logged. */
  void run(String task, Supplier<Promise<?>> call) {
    if (!closed) {
      exec.fork()
          .onError(cause -> logFailure(task, cause))
          .start(execution -> call.get().then(ignored -> {}));
    }
  }

  /** Runs a task once after a pause. */
  void after(long delayMillis, Runnable task) {
    if (!closed) {
      exec.getExecutor().schedule(task, delayMillis, TimeUnit.MILLISECONDS).isDone();
    }
  }

  /** Runs a call, then again after the pause that it returns, until it returns {@link #STOP}. */
  void loop(String task, Duration firstDelay, Supplier<Promise<Duration>> call) {
    if (closed || firstDelay.isNegative()) {
      return;
    }
    long delayMillis = vary(firstDelay);
    exec.getExecutor()
        .schedule(() -> runOnce(task, call), delayMillis, TimeUnit.MILLISECONDS)
        .isDone();
  }

  private void runOnce(String task, Supplier<Promise<Duration>> call) {
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
                    .then(pause -> loop(task, pause, call)));
  }

  private void logFailure(String task, Throwable cause) {
    if (!closed) {
      log.write(LogEvent.TASK_FAILED, "task=" + task, cause);
    }
  }

  private long vary(Duration pause) {
    double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
    return (long) (pause.toMillis() * factor);
  }
}
