package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Chooses nodes that reach the upstreams of a pool, for requests at a node that does not. Used only
 * on the event loop.
 */
final class PeerForwarding {
  private static final String ID_PREFIX = "node:";

  private final PeerTable peers;
  private final UpstreamClient client;
  private final SplittableRandom random;
  private final Map<String, ImmutableSet<String>> unreachablePoolsByNode = new HashMap<>();

  /**
   * Creates the forwarding of a node.
   *
   * @param peers the other nodes
   * @param client sends requests to them
   * @param seed the seed of random choices
   */
  PeerForwarding(PeerTable peers, UpstreamClient client, long seed) {
    this.peers = peers;
    this.client = client;
    this.random = new SplittableRandom(seed);
  }

  UpstreamClient client() {
    return client;
  }

  /** Replaces the pools that a node reports that it does not reach. */
  void reported(String node, ImmutableList<String> unreachablePools) {
    unreachablePoolsByNode.put(node, ImmutableSet.copyOf(unreachablePools));
  }

  /** Returns whether a node reaches all pools, as far as it has reported. */
  boolean reachesAllPools(NodeInfo node) {
    return unreachablePools(node).isEmpty();
  }

  /**
   * Returns a node that probably reaches a pool, as the target of a request. Nodes that have not
   * reported to this one, of other cells, come last.
   *
   * @param pool the pool
   * @param excluded the identifiers of targets that were tried before
   */
  Optional<RegisteredUpstream> choose(String pool, Set<String> excluded) {
    List<NodeInfo> nodes =
        peers.nodesAcceptingCallers(System.nanoTime()).stream()
            .filter(node -> !excluded.contains(ID_PREFIX + node.node()))
            .filter(node -> !unreachablePools(node).contains(pool))
            .toList();
    List<NodeInfo> reporting =
        nodes.stream().filter(node -> unreachablePoolsByNode.containsKey(node.node())).toList();
    return pickRandom(reporting.isEmpty() ? nodes : reporting).map(PeerForwarding::target);
  }

  private Optional<NodeInfo> pickRandom(List<NodeInfo> nodes) {
    return nodes.isEmpty()
        ? Optional.empty()
        : Optional.of(nodes.get(random.nextInt(nodes.size())));
  }

  private ImmutableSet<String> unreachablePools(NodeInfo node) {
    return unreachablePoolsByNode.getOrDefault(node.node(), ImmutableSet.of());
  }

  private static RegisteredUpstream target(NodeInfo node) {
    return new RegisteredUpstream(
        ID_PREFIX + node.node(), "nodes", node.callerAddress(), "", "", 0, 0, 0, false);
  }
}
