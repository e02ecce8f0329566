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
 * Writes log records asynchronously, from a bounded queue on a separate thread.
 *
 * <p>Never blocks the thread that logs: if the queue is full, the record is dropped and the number
 * of dropped records is logged later. Safe for use by several threads.
 */
public final class BoundedLogHandler extends Handler {
  /** Holds a few seconds of log records of a busy node. */
  private static final int MAX_QUEUED_RECORDS = 4_096;

  private static final int MAX_BATCH_RECORDS = 256;

  /** Delay before a batch is written, because each write costs a system call. */
  private static final long BATCH_DELAY_MILLIS = 20;

  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_RECORDS);
  private final AtomicLong droppedRecords = new AtomicLong();
  private final OutputStream out;
  private final Formatter formatter;
  private final EventLog log = new EventLog("");
  private final Thread writerThread;
  private volatile boolean closed;

  /**
   * Starts the writer thread.
   *
   * @param out receives the lines
   * @param formatter formats each record as a line
   */
  public BoundedLogHandler(OutputStream out, Formatter formatter) {
    this.out = out;
    this.formatter = formatter;
    this.writerThread = new Thread(this::writeUntilClosed, "log-writer");
    writerThread.setDaemon(true);
    writerThread.start();
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (isLoggable(logRecord) && !queue.offer(logRecord)) {
      droppedRecords.incrementAndGet();
    }
  }

  private void writeUntilClosed() {
    List<LogRecord> batch = new ArrayList<>();
    try {
      while (!closed || !queue.isEmpty()) {
        LogRecord first = queue.poll(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (first == null) {
          continue;
        }
        if (!closed) {
          Thread.sleep(BATCH_DELAY_MILLIS);
        }
        batch.add(first);
        queue.drainTo(batch, MAX_BATCH_RECORDS);
        writeBatch(batch);
        batch.clear();
        reportDropped();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The output has failed, so the error cannot be reported.
      closed = true;
    }
  }

  private void writeBatch(List<LogRecord> batch) throws IOException {
    StringBuilder batchText = new StringBuilder();
    batch.forEach(logRecord -> batchText.append(formatter.format(logRecord)));
    out.write(batchText.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void reportDropped() {
    long count = droppedRecords.getAndSet(0);
    if (count > 0) {
      log.write(LogEvent.LOG_LINES_DROPPED, "count=" + count);
    }
  }

  @Override
  public void flush() {
    // Each batch is flushed when it is written.
  }

  @Override
  public void close() {
    closed = true;
    try {
      writerThread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
