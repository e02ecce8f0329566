package org.cranberrystand.bench.overhead;

/**
 * Latencies of one kind of call, in milliseconds.
 *
 * @param call the kind of call
 * @param requestsPerSecond the rate on each path
 * @param directAnswered direct requests that were answered
 * @param nodeAnswered requests through the node that were answered
 * @param failed requests that were not answered with status 200, on both paths together
 * @param p50 the median latency
 * @param p99 the 99th percentile of the latency
 */
public record OverheadReport(
    String call,
    int requestsPerSecond,
    long directAnswered,
    long nodeAnswered,
    int failed,
    Pair p50,
    Pair p99) {

  /**
   * One latency percentile on both paths.
   *
   * @param directMillis the latency of a direct call
   * @param nodeMillis the latency through the node
   * @param addedMillis the difference
   * @param ratio the latency through the node relative to the direct one
   */
  public record Pair(double directMillis, double nodeMillis, double addedMillis, double ratio) {

    static Pair of(double directMillis, double nodeMillis) {
      return new Pair(
          directMillis, nodeMillis, nodeMillis - directMillis, nodeMillis / directMillis);
    }
  }

  static OverheadReport of(
      String call, int requestsPerSecond, LoadGenerator direct, LoadGenerator node) {
    return new OverheadReport(
        call,
        requestsPerSecond,
        direct.answeredCount(),
        node.answeredCount(),
        direct.failedCount() + node.failedCount(),
        Pair.of(direct.percentileMillis(50), node.percentileMillis(50)),
        Pair.of(direct.percentileMillis(99), node.percentileMillis(99)));
  }
}
