package org.cranberrystand.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the output length of requests by an exponential moving average for each kind of work.
 *
 * <p>Not thread-safe.
 */
final class OutputEstimator {
  private static final double SMOOTHING_FACTOR = 0.05;

  private final Map<String, Double> meanTokensByKind = new HashMap<>();

  /** Returns the expected output of a request in tokens, at most the limit the caller set. */
  double estimate(WorkItem item) {
    Double mean = meanTokensByKind.get(item.kind().name());
    double expected = mean == null ? item.kind().expectedOutputTokens() : mean;
    return item.maxOutputTokens() > 0 ? Math.min(expected, item.maxOutputTokens()) : expected;
  }

  /** Adds the output length of a finished request to the average of its kind. */
  void observe(WorkItem item, int tokens) {
    double start = item.kind().expectedOutputTokens();
    meanTokensByKind.merge(
        item.kind().name(),
        start + SMOOTHING_FACTOR * (tokens - start),
        (mean, ignored) -> mean + SMOOTHING_FACTOR * (tokens - mean));
  }
}
