package org.cranberrystand.util;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time, in the order of submission, on the threads that submit them.
 *
 * <p>A thread that submits while another one is running tasks only enqueues its task; the running
 * thread executes it. No lock is taken, so a request thread never waits for another one. State that
 * is touched only by the tasks needs no further synchronisation: the atomic counter orders each
 * task before the next.
 */
public final class SerialExecutor implements Executor {
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();
  private final Consumer<Throwable> failureHandler;

  /**
   * Creates an executor.
   *
   * @param failureHandler receives what a task throws; later tasks still run
   */
  public SerialExecutor(Consumer<Throwable> failureHandler) {
    this.failureHandler = failureHandler;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (pending.getAndIncrement() != 0) {
      return;
    }
    int done = 1;
    do {
      for (int i = 0; i < done; i++) {
        runNext();
      }
      done = pending.addAndGet(-done);
    } while (done != 0);
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
