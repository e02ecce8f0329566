package org.cranberrystand.bench.overhead;

/**
 * Measured latencies of one kind of call, in milliseconds.
 *
 * @param call the kind of call
 * @param requestsPerSecond the rate on each way
 * @param directAnswered requests answered by the upstream itself
 * @param nodeAnswered requests answered through the node
 * @param failed requests that were not answered with status 200 on either way
 * @param p50 the median
 * @param p99 the 99th percentile
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
   * One percentile on both ways.
   *
   * @param directMillis of the upstream itself
   * @param nodeMillis through the node
   * @param addedMillis the difference
   * @param ratio the latency through the node relative to the direct one
   */
  public record Pair(double directMillis, double nodeMillis, double addedMillis, double ratio) {

    static Pair of(double directMillis, double nodeMillis) {
      return new Pair(
          directMillis, nodeMillis, nodeMillis - directMillis, nodeMillis / directMillis);
    }
  }

  static OverheadReport of(String call, int requestsPerSecond, LoadPath direct, LoadPath node) {
    return new OverheadReport(
        call,
        requestsPerSecond,
        direct.answered(),
        node.answered(),
        direct.failed() + node.failed(),
        Pair.of(direct.percentileMillis(50), node.percentileMillis(50)),
        Pair.of(direct.percentileMillis(99), node.percentileMillis(99)));
  }
}
