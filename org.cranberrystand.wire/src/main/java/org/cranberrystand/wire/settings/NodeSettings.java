package org.cranberrystand.wire.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;

/**
 * Settings of one node.
 *
 * <p>Immutable.
 *
 * @param node the name of the node
 * @param failureDomain the failure domain of the VM
 * @param callers the listener for callers
 * @param peers the listener for other nodes
 * @param operators the listener for operators
 * @param operatorToken the bearer token of operators
 * @param fleetKeys the secrets shared by the nodes, the signing one first
 * @param trustedKeys public keys of operators in Base64 by key name
 * @param configService the configuration service
 * @param vmList the service that lists VMs
 * @param seeds listeners for peers of some other nodes
 * @param limits limits of inputs and state
 */
public record NodeSettings(
    String node,
    String failureDomain,
    HostAndPort callers,
    HostAndPort peers,
    HostAndPort operators,
    String operatorToken,
    ImmutableList<String> fleetKeys,
    ImmutableMap<String, String> trustedKeys,
    HostAndPort configService,
    HostAndPort vmList,
    ImmutableList<HostAndPort> seeds,
    Limits limits) {

  /**
   * Limits of inputs and state.
   *
   * @param maxBodyBytes the largest accepted request body
   * @param identifierLifetimeMillis how long an identifier is valid
   * @param maxAnswerBytes the size of all recorded answers together
   * @param upstreamTimeoutMillis the longest silence of an upstream
   * @param drainTimeoutMillis the longest time a graceful shutdown may take
   */
  public record Limits(
      int maxBodyBytes,
      long identifierLifetimeMillis,
      long maxAnswerBytes,
      long upstreamTimeoutMillis,
      long drainTimeoutMillis) {

    /**
     * Returns the limits used where settings give none.
     *
     * @return the defaults
     */
    public static Limits defaults() {
      return new Limits(4 << 20, 600_000, 8 << 20, 120_000, 3_600_000);
    }
  }
}
