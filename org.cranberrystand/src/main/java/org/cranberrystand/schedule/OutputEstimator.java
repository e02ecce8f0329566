package org.cranberrystand.schedule;

import java.util.HashMap;
import java.util.Map;

/** Learns the output length of each kind of work. Not thread-safe. */
final class OutputEstimator {
  private static final double WEIGHT = 0.05;

  private final Map<String, Double> means = new HashMap<>();

  /** Returns the expected output of a request in tokens. */
  double estimate(WorkItem item) {
    Double mean = means.get(item.kind().name());
    double expected = mean == null ? item.kind().expectedOutputTokens() : mean;
    return item.maxOutputTokens() > 0 ? Math.min(expected, item.maxOutputTokens()) : expected;
  }

  /** Takes the output of a finished request into account. */
  void observe(WorkItem item, int tokens) {
    double start = item.kind().expectedOutputTokens();
    means.merge(
        item.kind().name(),
        start + WEIGHT * (tokens - start),
        (mean, ignored) -> mean + WEIGHT * (tokens - mean));
  }
}
