package review3;

import java.io.IOException;

/** Daemon threads and waits. */
final class Threads {
  private Threads() {}

  /** What a thread does; it ends with its connection. */
  interface Task {
    void run() throws IOException;
  }

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The other side has closed the connection, or the run is over.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void await(Object monitor, long millis) {
    try {
      monitor.wait(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
