package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.cranberrystand.dispatch.UpstreamUsage;

/**
 * What one node tells the others several times a second.
 *
 * <p>Immutable. Every report holds the whole state, so a lost one is made good by the next.
 *
 * @param node the name of the node
 * @param incarnation a number drawn at the start of its process
 * @param sequence grows with each report of an incarnation
 * @param host the address of its VM
 * @param failureDomain the failure domain of its VM
 * @param callerAddress where callers connect
 * @param offered whether callers should be sent to it
 * @param revision the revision of the published state that it knows; 0 if none
 * @param usage what its requests use, by upstream
 * @param quotaUnits what its requests took of the quotas since its start, by team
 * @param quotaBalances what teams may still use as far as the node knows, by team
 * @param crashes fingerprints of requests during which an upstream crashed, with the count
 * @param hosts addresses of other nodes that it knows
 */
public record PeerReport(
    String node,
    long incarnation,
    long sequence,
    String host,
    String failureDomain,
    String callerAddress,
    boolean offered,
    long revision,
    ImmutableMap<String, UpstreamUsage> usage,
    ImmutableMap<String, Double> quotaUnits,
    ImmutableMap<String, Double> quotaBalances,
    ImmutableMap<Long, Integer> crashes,
    ImmutableList<String> hosts) {

  /**
   * Returns a name of the life of the node.
   *
   * @return node and incarnation
   */
  public String life() {
    return node + "/" + incarnation;
  }

  /**
   * Returns a copy that offers the node to callers or not.
   *
   * @param value whether callers should be sent to it
   * @return the copy
   */
  public PeerReport withOffered(boolean value) {
    return new PeerReport(
        node,
        incarnation,
        sequence,
        host,
        failureDomain,
        callerAddress,
        value,
        revision,
        usage,
        quotaUnits,
        quotaBalances,
        crashes,
        hosts);
  }
}
