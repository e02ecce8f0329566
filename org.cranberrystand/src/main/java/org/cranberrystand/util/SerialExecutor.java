package org.cranberrystand.util;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time, in the order of submission, on the threads that submit them.
 *
 * <p>If another thread is already running tasks, {@link #execute} only enqueues the task, and that
 * thread runs it. The executor is lock-free, so a request thread never blocks on another thread.
 * State that only the tasks access needs no further synchronization: the atomic counter establishes
 * a happens-before relation from each task to the next.
 */
public final class SerialExecutor implements Executor {
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pendingCount = new AtomicInteger();
  private final Consumer<Throwable> failureHandler;

  /**
   * Creates an executor.
   *
   * @param failureHandler receives exceptions and errors thrown by tasks; later tasks still run
   */
  public SerialExecutor(Consumer<Throwable> failureHandler) {
    this.failureHandler = failureHandler;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (pendingCount.getAndIncrement() != 0) {
      return;
    }
    int batchSize = 1;
    do {
      for (int i = 0; i < batchSize; i++) {
        runNext();
      }
      batchSize = pendingCount.addAndGet(-batchSize);
    } while (batchSize != 0);
  }

  private void runNext() {
    Runnable task = tasks.poll();
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      failureHandler.accept(e);
    }
  }
}
