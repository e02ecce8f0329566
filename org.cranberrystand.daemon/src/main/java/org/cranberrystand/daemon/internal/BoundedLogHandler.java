package org.cranberrystand.daemon.internal;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.cranberrystand.event.LogEvent;

/**
 * Writes log records on a thread of its own, from a bounded queue.
 *
 * <p>Never blocks the thread that logs: records that find the queue full are dropped and counted,
 * and the count is logged. Safe for use by several threads.
 */
public final class BoundedLogHandler extends Handler {
  /** Some seconds of the decisions of a busy node. */
  private static final int MAX_QUEUED = 4_096;

  private static final int MAX_BATCH = 256;

  /** Lines are gathered this long, because each write costs a system call. */
  private static final long GATHER_MILLIS = 20;

  private static final long CLOSE_MILLIS = 1_000;

  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream out;
  private final Formatter lines;
  private final EventLog log = new EventLog("");
  private final Thread writer;
  private volatile boolean closed;

  /**
   * Starts the writer.
   *
   * @param out receives the lines
   * @param lines turns a record into a line
   */
  public BoundedLogHandler(OutputStream out, Formatter lines) {
    this.out = out;
    this.lines = lines;
    this.writer = new Thread(this::writeUntilClosed, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (isLoggable(logRecord) && !queue.offer(logRecord)) {
      dropped.incrementAndGet();
    }
  }

  private void writeUntilClosed() {
    List<LogRecord> batch = new ArrayList<>();
    try {
      while (!closed || !queue.isEmpty()) {
        LogRecord first = queue.poll(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        if (first == null) {
          continue;
        }
        if (!closed) {
          Thread.sleep(GATHER_MILLIS);
        }
        batch.add(first);
        queue.drainTo(batch, MAX_BATCH);
        write(batch);
        batch.clear();
        reportDropped();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The output is gone, so there is nowhere to report it.
      closed = true;
    }
  }

  private void write(List<LogRecord> batch) throws IOException {
    StringBuilder text = new StringBuilder();
    batch.forEach(logRecord -> text.append(lines.format(logRecord)));
    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void reportDropped() {
    long count = dropped.getAndSet(0);
    if (count > 0) {
      log.write(LogEvent.LOG_LINES_DROPPED, "count=" + count);
    }
  }

  @Override
  public void flush() {
    // Lines are flushed when they are written.
  }

  @Override
  public void close() {
    closed = true;
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
