package org.cranberrystand.bench.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrystand.daemon.internal.PeerFault;

/**
 * Faults between the nodes of an embedded fleet: message loss and network partitions.
 *
 * <p>Safe for use by several threads.
 */
public final class FleetFaults implements PeerFault {
  private final Map<String, String> nodeByAddress = new ConcurrentHashMap<>();
  private final Random random;
  private volatile double lossProbability;
  private volatile ImmutableSet<String> partitionedNodes = ImmutableSet.of();
  private volatile ImmutableSet<String> blockedPair = ImmutableSet.of();

  FleetFaults(long seed) {
    this.random = new Random(seed);
  }

  void register(String address, String node) {
    nodeByAddress.put(address, node);
  }

  /**
   * Drops messages between nodes at random.
   *
   * @param probability the probability of each drop, from 0 to 1
   */
  public void setLossProbability(double probability) {
    this.lossProbability = probability;
  }

  /**
   * Separates some nodes from all others by a partition; replaces an earlier one.
   *
   * @param nodes the names of the nodes; empty to end the partition
   */
  public void partition(Collection<String> nodes) {
    this.partitionedNodes = ImmutableSet.copyOf(nodes);
  }

  /**
   * Drops all messages between two nodes, while both still reach the others.
   *
   * @param first the name of one node
   * @param second the name of the other one
   */
  public void blockPair(String first, String second) {
    this.blockedPair = ImmutableSet.of(first, second);
  }

  @Override
  public boolean drops(String node, String address) {
    String other = nodeByAddress.getOrDefault(address, "");
    boolean partitioned = partitionedNodes.contains(node) != partitionedNodes.contains(other);
    boolean blocked = blockedPair.contains(node) && blockedPair.contains(other);
    return partitioned || blocked || (lossProbability > 0 && random.nextDouble() < lossProbability);
  }
}
