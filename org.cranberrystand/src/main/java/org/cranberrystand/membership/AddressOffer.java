package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The addresses that callers are told, so that each node gets callers by its processor share.
 *
 * <p>Callers choose evenly among the addresses of one answer. A node with a small share is
 * therefore left out of part of the answers; where all are alike, every answer names all of them.
 * Immutable.
 */
public final class AddressOffer {
  /** Callers take no more from one answer. */
  private static final int MAX_ADDRESSES = 64;

  /** With fewer, a caller may find all of them gone. */
  private static final int MIN_ADDRESSES = 8;

  /** Chances of exactly 1 must not be missed because their sums are rounded. */
  private static final double ROUNDING = 1e-9;

  /** No nodes. */
  public static final AddressOffer NONE = new AddressOffer(ImmutableList.of());

  private final ImmutableList<KnownNode> nodes;
  private final double totalCores;
  private final double wanted;

  /**
   * Creates an offer.
   *
   * @param nodes the nodes that serve
   */
  public AddressOffer(ImmutableList<KnownNode> nodes) {
    this.nodes = nodes;
    this.totalCores = nodes.stream().mapToDouble(KnownNode::cores).sum();
    double most = nodes.stream().mapToDouble(KnownNode::cores).max().orElse(1);
    // With this many addresses the node with the most cores is in every answer.
    this.wanted =
        Math.min(MAX_ADDRESSES, Math.max(totalCores / most, Math.min(nodes.size(), MIN_ADDRESSES)));
  }

  /**
   * Draws the addresses for one caller.
   *
   * @param random the source of the choice
   * @return addresses, in the order of their drawing; empty only if there are no nodes
   */
  public ImmutableList<String> draw(Random random) {
    List<KnownNode> shuffled = new ArrayList<>(nodes);
    Collections.shuffle(shuffled, random);
    ImmutableList.Builder<String> drawn = ImmutableList.builder();
    // Systematic sampling: a node is drawn where the running sum of chances passes a whole number.
    double sum = random.nextDouble();
    for (KnownNode node : shuffled) {
      double next = sum + Math.min(1, wanted * node.cores() / totalCores);
      if (Math.floor(next + ROUNDING) > Math.floor(sum + ROUNDING)) {
        drawn.add(node.callerAddress());
      }
      sum = next;
    }
    return drawn.build();
  }
}
