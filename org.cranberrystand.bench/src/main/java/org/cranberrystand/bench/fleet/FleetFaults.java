package org.cranberrystand.bench.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrystand.daemon.internal.PeerFault;

/**
 * Faults between the nodes of an embedded fleet: lost messages and cuts.
 *
 * <p>Safe for use by several threads.
 */
public final class FleetFaults implements PeerFault {
  private final Map<String, String> nodeByAddress = new ConcurrentHashMap<>();
  private final Random random;
  private volatile double lossProbability;
  private volatile ImmutableSet<String> cutOff = ImmutableSet.of();
  private volatile ImmutableSet<String> pair = ImmutableSet.of();

  FleetFaults(long seed) {
    this.random = new Random(seed);
  }

  void register(String address, String node) {
    nodeByAddress.put(address, node);
  }

  /**
   * Loses a part of all messages.
   *
   * @param probability the part, from 0 to 1
   */
  public void setLossProbability(double probability) {
    this.lossProbability = probability;
  }

  /**
   * Cuts some nodes off from all others; replaces an earlier cut.
   *
   * @param nodes the names of the nodes, or none to heal
   */
  public void cutOff(Collection<String> nodes) {
    this.cutOff = ImmutableSet.copyOf(nodes);
  }

  /**
   * Loses all messages between two nodes that both reach the others.
   *
   * @param first the name of one node
   * @param second the name of the other one
   */
  public void separate(String first, String second) {
    this.pair = ImmutableSet.of(first, second);
  }

  @Override
  public boolean drops(String node, String address) {
    String other = nodeByAddress.getOrDefault(address, "");
    boolean cut = cutOff.contains(node) != cutOff.contains(other);
    boolean separated = pair.contains(node) && pair.contains(other);
    return cut || separated || (lossProbability > 0 && random.nextDouble() < lossProbability);
  }
}
