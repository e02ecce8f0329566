package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Draws random sets of node addresses for callers, weighted by the processor cores of each node.
 *
 * <p>A caller chooses uniformly among the addresses it receives. A node with few cores is therefore
 * left out of some of the sets. In a small fleet of equal nodes every set contains all nodes.
 * Immutable.
 */
public final class AddressOffer {
  /** Callers ignore further addresses. */
  private static final int MAX_ADDRESSES = 64;

  /** With fewer addresses, a caller may find that all of these nodes have stopped. */
  private static final int MIN_ADDRESSES = 8;

  /** Keeps nodes of probability 1 in every set despite rounding of the running sum. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** An offer without nodes. */
  public static final AddressOffer EMPTY = new AddressOffer(ImmutableList.of());

  private final ImmutableList<NodeInfo> nodes;
  private final double totalCores;
  private final double expectedSize;

  /**
   * Creates an offer.
   *
   * @param nodes the nodes that accept callers
   */
  public AddressOffer(ImmutableList<NodeInfo> nodes) {
    this.nodes = nodes;
    this.totalCores = nodes.stream().mapToDouble(NodeInfo::cores).sum();
    double maxCores = nodes.stream().mapToDouble(NodeInfo::cores).max().orElse(1);
    // A set of totalCores / maxCores addresses always contains the node with the most cores.
    this.expectedSize =
        Math.min(
            MAX_ADDRESSES, Math.max(totalCores / maxCores, Math.min(nodes.size(), MIN_ADDRESSES)));
  }

  /**
   * Draws the addresses for one caller.
   *
   * @param random the source of randomness
   * @return the addresses in random order; empty only if there are no nodes
   */
  public ImmutableList<String> draw(Random random) {
    List<NodeInfo> shuffled = new ArrayList<>(nodes);
    Collections.shuffle(shuffled, random);
    ImmutableList.Builder<String> drawn = ImmutableList.builder();
    // Systematic sampling: a node is drawn if the sum of probabilities passes a whole number there.
    double sum = random.nextDouble();
    for (NodeInfo node : shuffled) {
      double next = sum + Math.min(1, expectedSize * node.cores() / totalCores);
      if (Math.floor(next + ROUNDING_TOLERANCE) > Math.floor(sum + ROUNDING_TOLERANCE)) {
        drawn.add(node.callerAddress());
      }
      sum = next;
    }
    return drawn.build();
  }
}
