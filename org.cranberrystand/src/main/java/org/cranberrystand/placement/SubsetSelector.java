package org.cranberrystand.placement;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which engines a node uses when there are many nodes.
 *
 * <p>Each engine ranks the nodes by rendezvous hashing and takes the first few of them that have
 * not reached their limit. So each engine is used by the same number of nodes, no node has more
 * than a quarter more engines than the mean, and a node that leaves changes only the engines that
 * it used and a few that move because of the limit.
 */
public final class SubsetSelector {
  private static final double MAX_OVER_MEAN = 1.25;

  private record Candidate(int node, long score) {}

  private final int nodesPerEngine;

  /**
   * Creates a selector.
   *
   * @param nodesPerEngine how many nodes use one engine; with no more nodes than that, every node
   *     uses every engine
   */
  public SubsetSelector(int nodesPerEngine) {
    this.nodesPerEngine = nodesPerEngine;
  }

  /**
   * Returns the engines of one node.
   *
   * @param node the name of the node
   * @param nodes the names of all nodes, including this one
   * @param engines the names of all engines of the pool
   * @return the engines that the node uses
   */
  public ImmutableSet<String> select(
      String node, Collection<String> nodes, Collection<String> engines) {
    if (nodes.size() <= nodesPerEngine || !nodes.contains(node)) {
      return ImmutableSet.copyOf(engines);
    }
    ImmutableSet<String> result = assign(nodes, engines).get(node);
    return result == null ? ImmutableSet.of() : result;
  }

  /**
   * Returns the engines of all nodes.
   *
   * @param nodes the names of all nodes
   * @param engines the names of all engines of the pool
   * @return the engines by node
   */
  public Map<String, ImmutableSet<String>> assign(
      Collection<String> nodes, Collection<String> engines) {
    List<String> names = nodes.stream().sorted().toList();
    int perEngine = Math.min(nodesPerEngine, names.size());
    double mean = (double) engines.size() * perEngine / names.size();
    int limit = (int) Math.ceil(mean * MAX_OVER_MEAN);
    long[] hashes = names.stream().mapToLong(RendezvousHash::hash).toArray();
    List<ImmutableSet.Builder<String>> chosen = new ArrayList<>();
    names.forEach(name -> chosen.add(ImmutableSet.builder()));
    int[] counts = new int[hashes.length];
    for (String engine : engines.stream().sorted().toList()) {
      int missing = perEngine;
      for (Candidate candidate : ranked(engine, hashes)) {
        if (counts[candidate.node()] < limit) {
          counts[candidate.node()]++;
          chosen.get(candidate.node()).add(engine);
          missing--;
        }
        if (missing == 0) {
          break;
        }
      }
    }
    Map<String, ImmutableSet<String>> result = new HashMap<>();
    for (int i = 0; i < hashes.length; i++) {
      result.put(names.get(i), chosen.get(i).build());
    }
    return result;
  }

  private static List<Candidate> ranked(String engine, long[] nodeHashes) {
    long key = RendezvousHash.hash(engine);
    List<Candidate> result = new ArrayList<>(nodeHashes.length);
    for (int i = 0; i < nodeHashes.length; i++) {
      result.add(new Candidate(i, RendezvousHash.score(key, nodeHashes[i])));
    }
    result.sort((a, b) -> Long.compareUnsigned(b.score(), a.score()));
    return result;
  }
}
