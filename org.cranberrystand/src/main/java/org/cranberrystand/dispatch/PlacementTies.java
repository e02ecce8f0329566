package org.cranberrystand.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Chooses among upstreams of about the lowest cost, so that nodes with the same view do not all
 * choose the same one. Stateless.
 */
final class PlacementTies {
  /** Upstreams within this factor of the lowest cost are tied; nodes must not all choose one. */
  private static final double TIE_COST_FACTOR = 1.1;

  /**
   * While upstreams report slowdowns, at least this fraction of the candidates is chosen from. A
   * slowdown is known to all nodes at once, so that a single upstream that is not slow would get
   * the requests of all of them before it can report its load.
   */
  private static final double MIN_SPREAD_FRACTION = 0.25;

  private PlacementTies() {}

  /**
   * Chooses an upstream.
   *
   * @param candidates the upstreams
   * @param costs their costs
   * @param cacheHolder the candidate that is chosen if its cost is about the lowest; null for none
   * @param ownDomain the failure domain that is preferred among ties; empty for none
   * @param slowdowns whether a candidate reports a slowdown
   * @param random the source of random numbers
   */
  static UpstreamState choose(
      List<UpstreamState> candidates,
      double[] costs,
      UpstreamState cacheHolder,
      String ownDomain,
      boolean slowdowns,
      SplittableRandom random) {
    double limit = least(costs) * TIE_COST_FACTOR;
    List<UpstreamState> ties =
        IntStream.range(0, costs.length)
            .filter(i -> costs[i] <= limit)
            .mapToObj(candidates::get)
            .toList();
    if (ties.contains(cacheHolder)) {
      return cacheHolder;
    }
    int minSpread = (int) Math.ceil(MIN_SPREAD_FRACTION * costs.length);
    if (slowdowns && ties.size() < minSpread) {
      return chooseAmongCheapest(candidates, costs, minSpread, random);
    }
    List<UpstreamState> near =
        ties.stream().filter(state -> state.upstream().failureDomain().equals(ownDomain)).toList();
    List<UpstreamState> chosenFrom = near.isEmpty() ? ties : near;
    return chosenFrom.get(random.nextInt(chosenFrom.size()));
  }

  /** Chooses among the cheapest candidates, each in proportion to the inverse of its cost. */
  private static UpstreamState chooseAmongCheapest(
      List<UpstreamState> candidates, double[] costs, int count, SplittableRandom random) {
    List<Integer> byCost = new ArrayList<>(IntStream.range(0, costs.length).boxed().toList());
    byCost.sort(Comparator.comparingDouble(i -> costs[i]));
    List<Integer> cheapest = byCost.subList(0, count);
    double point = random.nextDouble() * cheapest.stream().mapToDouble(i -> weight(costs[i])).sum();
    for (int i : cheapest) {
      point -= weight(costs[i]);
      if (point < 0) {
        return candidates.get(i);
      }
    }
    return candidates.get(cheapest.get(count - 1));
  }

  private static double weight(double costNanos) {
    return 1 / Math.max(1, costNanos);
  }

  private static double least(double[] costs) {
    return IntStream.range(0, costs.length).mapToDouble(i -> costs[i]).min().orElseThrow();
  }
}
