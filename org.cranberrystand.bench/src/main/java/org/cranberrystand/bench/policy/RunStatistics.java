package org.cranberrystand.bench.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bundle.Tier;

/** Statistics over the requests of a run. Times are in seconds since the start of the run. */
final class RunStatistics {
  /** Delay that stands for an event that never happened, such as the first token. */
  static final double NEVER_SECONDS = 1_000;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double QUANTILE = 0.95;

  private RunStatistics() {}

  /** Returns the model requests that arrived in a time range. */
  static Stream<SimRequest> arrivedIn(Run run, double fromSeconds, double toSeconds) {
    return run
        .requests()
        .subList(firstArrivalIndex(run, fromSeconds), firstArrivalIndex(run, toSeconds))
        .stream()
        .filter(r -> r.spec.isModel());
  }

  /** Returns the index of the first request that arrived at the given time or later. */
  private static int firstArrivalIndex(Run run, double seconds) {
    long nanos = Times.nanos(seconds);
    int low = 0;
    int high = run.requests().size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (run.requests().get(middle).item.arrivalNanos() < nanos) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** Returns the model requests that were dispatched in a time range. */
  static Stream<SimRequest> dispatchedIn(Run run, double fromSeconds, double toSeconds) {
    long fromNanos = Times.nanos(fromSeconds);
    long toNanos = Times.nanos(toSeconds);
    return run.requests().stream()
        .filter(r -> r.spec.isModel())
        .filter(r -> r.dispatchNanos >= fromNanos && r.dispatchNanos < toNanos);
  }

  static Predicate<SimRequest> ofTier(Tier tier) {
    return request -> request.tier() == tier;
  }

  static long costTokens(Stream<SimRequest> requests) {
    return requests.mapToLong(SimRequest::costTokens).sum();
  }

  static long countInTime(Stream<SimRequest> requests) {
    return requests.filter(SimRequest::isInTime).count();
  }

  /** Returns the 95th percentile of the time to first token, or 0 without requests. */
  static double firstTokenP95Seconds(Stream<SimRequest> requests) {
    double[] delays =
        requests
            .mapToDouble(
                r ->
                    r.firstTokenNanos < 0
                        ? NEVER_SECONDS
                        : (r.firstTokenNanos - r.item.arrivalNanos()) / NANOS_PER_SECOND)
            .sorted()
            .toArray();
    return delays.length == 0 ? 0 : delays[(int) Math.ceil(QUANTILE * delays.length) - 1];
  }

  /** Returns Jain's fairness index: 1 if all values are equal, 1/n if only one is not 0. */
  static double jainIndex(double[] values) {
    double sum = Arrays.stream(values).sum();
    double squares = Arrays.stream(values).map(v -> v * v).sum();
    return squares == 0 ? 0 : sum * sum / (values.length * squares);
  }

  /** Returns the fraction of all tokens dispatched in a time range that went to one engine. */
  static double dispatchShare(Run run, String engine, double fromSeconds, double toSeconds) {
    long allTokens = costTokens(dispatchedIn(run, fromSeconds, toSeconds));
    long engineTokens =
        costTokens(
            dispatchedIn(run, fromSeconds, toSeconds).filter(r -> r.upstreamName.equals(engine)));
    return allTokens == 0 ? 0 : (double) engineTokens / allTokens;
  }

  /** Returns the tokens of each team that were dispatched in a time range. */
  static Map<String, Long> dispatchedTokensByTeam(Run run, double fromSeconds, double toSeconds) {
    Map<String, Long> tokens = new HashMap<>();
    dispatchedIn(run, fromSeconds, toSeconds)
        .forEach(r -> tokens.merge(r.item.team(), r.costTokens(), Long::sum));
    return tokens;
  }

  /** Returns the fraction of accepted long requests that finished, or 1 without requests. */
  static double longFinishedFraction(List<SimRequest> accepted) {
    long finished = accepted.stream().filter(SimRequest::isFinished).count();
    return accepted.isEmpty() ? 1 : (double) finished / accepted.size();
  }
}
