package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.cranberrystand.bundle.Tier;

/**
 * Figures of the scheduler for operators, true at one time.
 *
 * @param queues queued work by tier, over all pools
 * @param teamTokensPerSecond recent service of the largest teams
 * @param upstreams the upstreams that this node uses
 * @param running the number of running requests
 */
public record SchedulerStatistics(
    ImmutableMap<Tier, QueueFigures> queues,
    ImmutableMap<String, Long> teamTokensPerSecond,
    ImmutableList<UpstreamFigures> upstreams,
    int running) {

  /**
   * Queued work of a tier.
   *
   * @param requests the number of requests
   * @param tokens their estimated cost
   */
  public record QueueFigures(int requests, long tokens) {}

  /**
   * What the node knows of an upstream and has there.
   *
   * @param name the name of the upstream
   * @param pool its pool
   * @param windowSequences the window of the whole upstream in sequences
   * @param windowTokens the window of the whole upstream in tokens
   * @param share the part of the window that this node may use
   * @param running requests of this node
   * @param runningTokens context of the requests of this node
   * @param prefillTokensPerSecond the learned prefill rate
   * @param tokenGapMillis the observed gap between tokens
   * @param ejected whether it gets no requests because of failures
   * @param leaving whether it gets no requests because it leaves
   */
  public record UpstreamFigures(
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
