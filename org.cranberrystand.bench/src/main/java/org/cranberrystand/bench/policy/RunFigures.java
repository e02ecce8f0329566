package org.cranberrystand.bench.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bundle.Tier;

/** Figures taken from the requests of runs. Times are in seconds of the run. */
final class RunFigures {
  /** Stands for a delay of a request that was never answered, in seconds. */
  static final double NEVER_SECONDS = 1_000;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENTILE = 0.95;

  private RunFigures() {}

  /** Returns the model requests that arrived in a window. */
  static Stream<SimRequest> arrivedIn(Run run, double from, double to) {
    return run.requests().subList(firstFrom(run, from), firstFrom(run, to)).stream()
        .filter(r -> r.spec.isModel());
  }

  /** Returns the position of the first request that arrived at a time or later. */
  private static int firstFrom(Run run, double seconds) {
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

  /** Returns the model requests that were dispatched in a window. */
  static Stream<SimRequest> dispatchedIn(Run run, double from, double to) {
    long fromNanos = Times.nanos(from);
    long toNanos = Times.nanos(to);
    return run.requests().stream()
        .filter(r -> r.spec.isModel())
        .filter(r -> r.dispatchNanos >= fromNanos && r.dispatchNanos < toNanos);
  }

  static Predicate<SimRequest> ofTier(Tier tier) {
    return request -> request.tier() == tier;
  }

  static long tokens(Stream<SimRequest> requests) {
    return requests.mapToLong(SimRequest::costTokens).sum();
  }

  static long inTime(Stream<SimRequest> requests) {
    return requests.filter(SimRequest::isInTime).count();
  }

  /** Returns the 95th percentile of the delay from arrival to the first token. */
  static double firstTokenP95(Stream<SimRequest> requests) {
    double[] delays =
        requests
            .mapToDouble(
                r ->
                    r.firstTokenNanos < 0
                        ? NEVER_SECONDS
                        : (r.firstTokenNanos - r.item.arrivalNanos()) / NANOS_PER_SECOND)
            .sorted()
            .toArray();
    return delays.length == 0 ? 0 : delays[(int) Math.ceil(PERCENTILE * delays.length) - 1];
  }

  /** Returns Jain's fairness index: 1 if all values are equal, 1/n if one has everything. */
  static double jainIndex(double[] values) {
    double sum = Arrays.stream(values).sum();
    double squares = Arrays.stream(values).map(v -> v * v).sum();
    return squares == 0 ? 0 : sum * sum / (values.length * squares);
  }

  /** Returns the share of an engine in the tokens dispatched in a window. */
  static double dispatchShare(Run run, String engine, double from, double to) {
    long all = tokens(dispatchedIn(run, from, to));
    long own = tokens(dispatchedIn(run, from, to).filter(r -> r.upstream.equals(engine)));
    return all == 0 ? 0 : (double) own / all;
  }

  /** Returns the dispatched tokens of each team in a window. */
  static Map<String, Long> tokensByTeam(Run run, double from, double to) {
    Map<String, Long> tokens = new HashMap<>();
    dispatchedIn(run, from, to)
        .forEach(r -> tokens.merge(r.item.team(), r.costTokens(), Long::sum));
    return tokens;
  }

  /** Returns the accepted long requests of runs that finished, over all accepted ones. */
  static double longFinished(List<SimRequest> accepted) {
    long finished = accepted.stream().filter(SimRequest::isFinished).count();
    return accepted.isEmpty() ? 1 : (double) finished / accepted.size();
  }
}
