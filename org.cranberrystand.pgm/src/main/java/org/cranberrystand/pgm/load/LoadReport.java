package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableSortedMap;

/**
 * Result of a load.
 *
 * @param seed the seed
 * @param ratePerSecond the arrivals per second asked for, without floods
 * @param durationSeconds how long requests arrived
 * @param arrived the number of planned requests
 * @param maxSendDelayMillis the longest time by which a request was sent late; the figures of a
 *     load whose machine cannot keep up are still counted from the planned time
 * @param addressCalls the number of calls for addresses and identifiers
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
   * Figures of a histogram.
   *
   * @param count the number of values
   * @param p50Millis the median in milliseconds
   * @param p95Millis the 95th percentile in milliseconds
   * @param p99Millis the 99th percentile in milliseconds
   * @param maxMillis the greatest value in milliseconds
   */
  public record Latency(
      long count, double p50Millis, double p95Millis, double p99Millis, double maxMillis) {}

  /**
   * Figures of one group.
   *
   * @param arrived the number of planned requests
   * @param good the number answered completely with the first token in time
   * @param goodputPerSecond good requests per second of the plan
   * @param tokensPerSecond output tokens per second of the plan
   * @param resent the number of further attempts
   * @param firstToken time from the planned arrival to the first token
   * @param tokenGap time between tokens
   * @param outcomes final outcomes by name
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
