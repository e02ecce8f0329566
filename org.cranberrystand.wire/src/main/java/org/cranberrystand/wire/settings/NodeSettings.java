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
 * @param fleetKeys the secrets shared by the nodes, the signing key first
 * @param trustedKeys the public keys of operators in Base64 by key identifier
 * @param configService the address of the configuration service
 * @param vmList the address of the service that publishes the VM list
 * @param seeds the peer listeners of some other nodes, used to join the fleet
 * @param limits limits of input sizes, retained state and timeouts
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
   * Limits of input sizes, retained state and timeouts.
   *
   * @param maxBodyBytes the maximum size of a request body
   * @param identifierLifetimeMillis how long a request identifier is valid
   * @param maxAnswerBytes the maximum total size of the recorded answers
   * @param upstreamTimeoutMillis the maximum time without data from an upstream
   * @param drainTimeoutMillis the maximum duration of a graceful shutdown
   */
  public record Limits(
      int maxBodyBytes,
      long identifierLifetimeMillis,
      long maxAnswerBytes,
      long upstreamTimeoutMillis,
      long drainTimeoutMillis) {

    /**
     * Returns the limits for settings that do not set them.
     *
     * @return the default limits
     */
    public static Limits defaults() {
      return new Limits(4 << 20, 600_000, 8 << 20, 120_000, 3_600_000);
    }
  }
}
