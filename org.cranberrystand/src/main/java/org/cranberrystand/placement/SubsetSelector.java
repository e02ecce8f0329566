package org.cranberrystand.placement;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the subset of engines that each node of a large fleet uses.
 *
 * <p>Each engine ranks the nodes by rendezvous hashing with bounded loads: it selects the highest
 * ranked nodes that have not reached their limit of engines. Each engine is thus used by the same
 * number of nodes, and no node uses over 25 percent more engines than the mean. A node that leaves
 * affects only the engines that it used and a few that move because of the limit.
 */
public final class SubsetSelector {
  /** The limit of engines per node, relative to the mean. */
  private static final double MAX_LOAD_FACTOR = 1.25;

  private record Candidate(int node, long score) {}

  private final int nodesPerEngine;

  /**
   * Creates a selector.
   *
   * @param nodesPerEngine the number of nodes that use one engine; in a fleet of at most that many
   *     nodes, every node uses every engine
   */
  public SubsetSelector(int nodesPerEngine) {
    this.nodesPerEngine = nodesPerEngine;
  }

  /**
   * Returns the engines that one node uses.
   *
   * @param node the name of the node
   * @param nodes the names of all nodes, including this one
   * @param engines the names of all engines of the pool
   * @return the engines of the node; all engines in a small fleet or if {@code nodes} lacks the
   *     node
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
   * Returns the engines that each node uses.
   *
   * @param nodes the names of all nodes
   * @param engines the names of all engines of the pool
   * @return the engines by node
   */
  public Map<String, ImmutableSet<String>> assign(
      Collection<String> nodes, Collection<String> engines) {
    List<String> names = nodes.stream().sorted().toList();
    int usersPerEngine = Math.min(nodesPerEngine, names.size());
    double meanEngines = (double) engines.size() * usersPerEngine / names.size();
    int maxEngines = (int) Math.ceil(meanEngines * MAX_LOAD_FACTOR);
    long[] nodeHashes = names.stream().mapToLong(RendezvousHash::hash).toArray();
    List<ImmutableSet.Builder<String>> selected = new ArrayList<>();
    names.forEach(name -> selected.add(ImmutableSet.builder()));
    int[] engineCounts = new int[nodeHashes.length];
    for (String engine : engines.stream().sorted().toList()) {
      int remaining = usersPerEngine;
      for (Candidate candidate : ranked(engine, nodeHashes)) {
        if (engineCounts[candidate.node()] < maxEngines) {
          engineCounts[candidate.node()]++;
          selected.get(candidate.node()).add(engine);
          remaining--;
        }
        if (remaining == 0) {
          break;
        }
      }
    }
    Map<String, ImmutableSet<String>> result = new HashMap<>();
    for (int i = 0; i < nodeHashes.length; i++) {
      result.put(names.get(i), selected.get(i).build());
    }
    return result;
  }

  private static List<Candidate> ranked(String engine, long[] nodeHashes) {
    long engineHash = RendezvousHash.hash(engine);
    List<Candidate> result = new ArrayList<>(nodeHashes.length);
    for (int i = 0; i < nodeHashes.length; i++) {
      result.add(new Candidate(i, RendezvousHash.score(engineHash, nodeHashes[i])));
    }
    result.sort((a, b) -> Long.compareUnsigned(b.score(), a.score()));
    return result;
  }
}
