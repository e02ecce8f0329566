package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Statistics of a load run by group. Safe for use by several threads. */
final class LoadStatistics {
  private static final int HISTOGRAM_DIGITS = 3;

  /** Statistics of one tier or team. */
  private static final class Group {
    private final Histogram firstTokenMicros = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    private final Histogram tokenGapMicros = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    private final Map<String, LongAdder> outcomes = new ConcurrentSkipListMap<>();
    private final LongAdder arrived = new LongAdder();
    private final LongAdder good = new LongAdder();
    private final LongAdder retries = new LongAdder();
    private final LongAdder tokens = new LongAdder();
  }

  private final Map<String, Group> groups = new ConcurrentSkipListMap<>();

  void recordArrival(String group) {
    groupOf(group).arrived.increment();
  }

  void recordRetry(String group) {
    groupOf(group).retries.increment();
  }

  void recordFirstToken(String group, long nanos) {
    groupOf(group).firstTokenMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos)));
  }

  void recordToken(String group) {
    groupOf(group).tokens.increment();
  }

  void recordTokenGap(String group, long nanos) {
    groupOf(group).tokenGapMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos)));
  }

  void recordEnd(String group, String outcome, boolean good) {
    Group g = groupOf(group);
    g.outcomes.computeIfAbsent(outcome, key -> new LongAdder()).increment();
    if (good) {
      g.good.increment();
    }
  }

  ImmutableSortedMap<String, LoadReport.Summary> summaries(Duration plannedDuration) {
    double seconds = plannedDuration.toNanos() / 1e9;
    ImmutableSortedMap.Builder<String, LoadReport.Summary> summaries =
        ImmutableSortedMap.naturalOrder();
    groups.forEach((name, g) -> summaries.put(name, summary(g, seconds)));
    return summaries.build();
  }

  private static LoadReport.Summary summary(Group g, double seconds) {
    ImmutableSortedMap.Builder<String, Long> outcomes = ImmutableSortedMap.naturalOrder();
    g.outcomes.forEach((name, count) -> outcomes.put(name, count.sum()));
    return new LoadReport.Summary(
        g.arrived.sum(),
        g.good.sum(),
        g.good.sum() / seconds,
        g.tokens.sum() / seconds,
        g.retries.sum(),
        latency(g.firstTokenMicros),
        latency(g.tokenGapMicros),
        outcomes.build());
  }

  private static LoadReport.Latency latency(Histogram micros) {
    return new LoadReport.Latency(
        micros.getTotalCount(),
        micros.getValueAtPercentile(50) / 1e3,
        micros.getValueAtPercentile(95) / 1e3,
        micros.getValueAtPercentile(99) / 1e3,
        micros.getMaxValue() / 1e3);
  }

  private Group groupOf(String name) {
    return groups.computeIfAbsent(name, key -> new Group());
  }
}
