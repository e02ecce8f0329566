package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableSortedMap;

/**
 * Results of a load run.
 *
 * @param seed the seed
 * @param ratePerSecond the requested total arrival rate, without floods
 * @param durationSeconds how long requests were sent
 * @param arrived the number of planned requests
 * @param maxSendDelayMillis the maximum delay between the planned and the actual send time;
 *     latencies count from the planned time, so they include this delay
 * @param addressCalls the number of requests for the address list
 * @param tiers results by tier
 * @param teams results by team
 */
public record LoadReport(
    long seed,
    double ratePerSecond,
    double durationSeconds,
    long arrived,
    double maxSendDelayMillis,
    long addressCalls,
    ImmutableSortedMap<String, Summary> tiers,
    ImmutableSortedMap<String, Summary> teams) {

  /**
   * Statistics of a latency histogram.
   *
   * @param count the number of values
   * @param p50Millis the median in milliseconds
   * @param p95Millis the 95th percentile in milliseconds
   * @param p99Millis the 99th percentile in milliseconds
   * @param maxMillis the maximum in milliseconds
   */
  public record Latency(
      long count, double p50Millis, double p95Millis, double p99Millis, double maxMillis) {}

  /**
   * Statistics of one tier or team.
   *
   * @param arrived the number of planned requests
   * @param good the number of complete answers whose first token met the deadline
   * @param goodputPerSecond good requests per second of the planned duration
   * @param tokensPerSecond output tokens per second of the planned duration
   * @param resent the number of retries
   * @param firstToken time from the planned arrival to the first token
   * @param tokenGap time between consecutive tokens
   * @param outcomes the number of requests by final outcome
   */
  public record Summary(
      long arrived,
      long good,
      double goodputPerSecond,
      double tokensPerSecond,
      long resent,
      Latency firstToken,
      Latency tokenGap,
      ImmutableSortedMap<String, Long> outcomes) {}
}
