package org.cranberrystand.daemon.gateway;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cranberrystand.event.LogEvent;

/**
 * Logs refusals up to a rate, and how many others there were of each cause. Used only on the event
 * loop.
 */
final class RefusalLog {
  /** The lines of one period that are written; further refusals are only counted. */
  static final int MAX_LINES = 50;

  static final long PERIOD_MILLIS = 1_000;

  private final BiConsumer<LogEvent, String> log;
  private final Consumer<Runnable> periodTimer;
  private final Map<String, Integer> leftOut = new TreeMap<>();
  private boolean inPeriod;
  private int lines;

  /**
   * Creates a log.
   *
   * @param log writes an event
   * @param periodTimer runs a task on the event loop after {@link #PERIOD_MILLIS}
   */
  RefusalLog(BiConsumer<LogEvent, String> log, Consumer<Runnable> periodTimer) {
    this.log = log;
    this.periodTimer = periodTimer;
  }

  /**
   * Logs a refusal, or counts it.
   *
   * @param event the event
   * @param cause one of a few causes
   * @param detail the details of the event
   */
  void write(LogEvent event, String cause, String detail) {
    if (!inPeriod) {
      inPeriod = true;
      periodTimer.accept(this::endPeriod);
    }
    if (lines < MAX_LINES) {
      lines++;
      log.accept(event, detail);
    } else {
      leftOut.merge(cause, 1, Integer::sum);
    }
  }

  private void endPeriod() {
    inPeriod = false;
    lines = 0;
    if (!leftOut.isEmpty()) {
      log.accept(LogEvent.REFUSALS_LEFT_OUT, "causes=" + leftOut);
      leftOut.clear();
    }
  }
}
