package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.cranberrystand.bundle.Tier;

/**
 * Snapshot of the scheduler state, for operators.
 *
 * @param queues queued work by tier, over all pools
 * @param teamTokensPerSecond recent service of the teams with the most service
 * @param upstreams the upstreams that this node uses
 * @param running the number of running requests
 */
public record SchedulerStatistics(
    ImmutableMap<Tier, QueueStatistics> queues,
    ImmutableMap<String, Long> teamTokensPerSecond,
    ImmutableList<UpstreamStatistics> upstreams,
    int running) {

  /**
   * Queued work of a tier.
   *
   * @param requests the number of requests
   * @param tokens their estimated cost in tokens
   */
  public record QueueStatistics(int requests, long tokens) {}

  /**
   * State of an upstream as seen by this node.
   *
   * @param name the name of the upstream
   * @param pool the pool of the upstream
   * @param windowSequences the window of the whole upstream in sequences
   * @param windowTokens the window of the whole upstream in tokens
   * @param share the part of the window that this node may use, from 0 to 1
   * @param running the number of requests of this node on the upstream
   * @param runningTokens the context tokens of these requests
   * @param prefillTokensPerSecond the estimated prefill rate
   * @param tokenGapMillis the estimated time between output tokens
   * @param ejected whether the upstream gets no requests because of failures
   * @param leaving whether the upstream gets no requests because it is draining
   */
  public record UpstreamStatistics(
      String name,
      String pool,
      double windowSequences,
      long windowTokens,
      double share,
      int running,
      long runningTokens,
      long prefillTokensPerSecond,
      double tokenGapMillis,
      boolean ejected,
      boolean leaving) {}
}
