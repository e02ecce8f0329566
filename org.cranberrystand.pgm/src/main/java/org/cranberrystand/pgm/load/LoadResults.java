package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Results of a load by group. Safe for use by several threads. */
final class LoadResults {
  private static final int DIGITS = 3;

  /** Results of one tier or team. */
  private static final class Group {
    private final Histogram firstToken = new ConcurrentHistogram(DIGITS);
    private final Histogram tokenGap = new ConcurrentHistogram(DIGITS);
    private final Map<String, LongAdder> outcomes = new ConcurrentSkipListMap<>();
    private final LongAdder arrived = new LongAdder();
    private final LongAdder good = new LongAdder();
    private final LongAdder resent = new LongAdder();
    private final LongAdder tokens = new LongAdder();
  }

  private final Map<String, Group> groups = new ConcurrentSkipListMap<>();

  void arrived(String group) {
    groupOf(group).arrived.increment();
  }

  void resent(String group) {
    groupOf(group).resent.increment();
  }

  void firstToken(String group, long nanos) {
    groupOf(group).firstToken.recordValue(TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos)));
  }

  void token(String group) {
    groupOf(group).tokens.increment();
  }

  void tokenGap(String group, long nanos) {
    groupOf(group).tokenGap.recordValue(TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos)));
  }

  void ended(String group, String outcome, boolean inTime) {
    Group g = groupOf(group);
    g.outcomes.computeIfAbsent(outcome, key -> new LongAdder()).increment();
    if (inTime) {
      g.good.increment();
    }
  }

  ImmutableSortedMap<String, LoadReport.Summary> summaries(Duration planned) {
    double seconds = planned.toNanos() / 1e9;
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
        g.resent.sum(),
        latency(g.firstToken),
        latency(g.tokenGap),
        outcomes.build());
  }

  private static LoadReport.Latency latency(Histogram h) {
    return new LoadReport.Latency(
        h.getTotalCount(),
        h.getValueAtPercentile(50) / 1e3,
        h.getValueAtPercentile(95) / 1e3,
        h.getValueAtPercentile(99) / 1e3,
        h.getMaxValue() / 1e3);
  }

  private Group groupOf(String name) {
    return groups.computeIfAbsent(name, key -> new Group());
  }
}
