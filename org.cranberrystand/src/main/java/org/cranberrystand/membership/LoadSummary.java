package org.cranberrystand.membership;

import com.google.common.collect.ImmutableMap;
import java.util.Objects;
import org.cranberrystand.bundle.Tier;

/**
 * Load and bundle version of one node.
 *
 * <p>Exchanged separately from its {@link MemberRecord}, because the load changes much more often.
 *
 * @param node the name of the node
 * @param sequence a number that grows with each change within and across incarnations
 * @param bundleVersion the bundle in force on the node, or 0
 * @param bundleDigest the digest of that bundle, or an empty string
 * @param loadPercent the used part of its capacity for queued work, in percent
 * @param backlogTokens cost of queued work by tier, in tokens; tiers without work may be absent
 * @param roomTokens cost of the urgent work that the node can accept now, in tokens
 * @param teamTokensPerSecond recent throughput of the largest teams, in tokens per second
 * @param demandTokensPerSecond recent throughput of all teams together, in tokens per second
 */
public record LoadSummary(
    String node,
    long sequence,
    long bundleVersion,
    String bundleDigest,
    int loadPercent,
    ImmutableMap<Tier, Long> backlogTokens,
    long roomTokens,
    ImmutableMap<String, Long> teamTokensPerSecond,
    long demandTokensPerSecond) {

  /** Checks that no component is null. */
  public LoadSummary {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(bundleDigest, "bundleDigest");
    Objects.requireNonNull(backlogTokens, "backlogTokens");
    Objects.requireNonNull(teamTokensPerSecond, "teamTokensPerSecond");
  }

  /**
   * Returns the summary of an idle node.
   *
   * @param node the name of the node
   * @param sequence the sequence number
   * @return a summary without a bundle and load
   */
  public static LoadSummary idle(String node, long sequence) {
    return new LoadSummary(node, sequence, 0, "", 0, ImmutableMap.of(), 0, ImmutableMap.of(), 0);
  }

  /**
   * Returns a copy with another sequence number.
   *
   * @param newSequence the number
   * @return the copy
   */
  public LoadSummary withSequence(long newSequence) {
    return new LoadSummary(
        node,
        newSequence,
        bundleVersion,
        bundleDigest,
        loadPercent,
        backlogTokens,
        roomTokens,
        teamTokensPerSecond,
        demandTokensPerSecond);
  }

  /**
   * Returns a copy with another bundle.
   *
   * @param version the version in force
   * @param digest the digest of that bundle
   * @return the copy
   */
  public LoadSummary withBundle(long version, String digest) {
    return new LoadSummary(
        node,
        sequence,
        version,
        digest,
        loadPercent,
        backlogTokens,
        roomTokens,
        teamTokensPerSecond,
        demandTokensPerSecond);
  }

  /**
   * Returns a copy with another load.
   *
   * @param backlog cost of queued work by tier, in tokens
   * @param room cost of the urgent work that the node can accept now, in tokens
   * @param teams recent throughput of the largest teams, in tokens per second
   * @param demand recent throughput of all teams together, in tokens per second
   * @return the copy
   */
  public LoadSummary withLoad(
      ImmutableMap<Tier, Long> backlog, long room, ImmutableMap<String, Long> teams, long demand) {
    return new LoadSummary(
        node, sequence, bundleVersion, bundleDigest, loadPercent, backlog, room, teams, demand);
  }
}
