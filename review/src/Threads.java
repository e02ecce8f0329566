import java.io.Closeable;
import java.io.IOException;

/** Threads and sockets of the stand-ins. */
final class Threads {
  private Threads() {}

  static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  static void close(Closeable one) {
    try {
      one.close();
    } catch (IOException e) {
      // Nothing is left to do with it.
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Sleeps until a time of {@link System#nanoTime}. */
  static void sleepUntil(long nanos) {
    sleep((nanos - System.nanoTime()) / 1_000_000);
  }
}
