package org.cranberrystand.order;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.UnsignedLongs;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.bundle.ModelDeployment;
import org.cranberrystand.placement.RendezvousHash;

/**
 * Computes which engine of a pool should serve which model deployment of a bundle.
 *
 * <p>The result depends only on the deployments and the engine names, so nodes with the same inputs
 * compute the same placement. Rendezvous hashing keeps the number of reassigned engines small when
 * an engine is added or removed. Stateless.
 */
public final class DesiredPlacement {
  private DesiredPlacement() {}

  /**
   * Assigns engines to deployments in proportion to the declared shares.
   *
   * @param deployments the deployments of one pool
   * @param engines the names of the engines of that pool
   * @return the target by engine name; engines that no share covers are absent
   */
  public static ImmutableMap<String, EngineTarget> assign(
      List<ModelDeployment> deployments, Collection<String> engines) {
    int[] remainingCounts = engineCounts(deployments, engines.size());
    Map<String, EngineTarget> assigned = new HashMap<>();
    for (Candidate candidate : rankedCandidates(deployments, engines)) {
      if (remainingCounts[candidate.deployment()] > 0
          && !assigned.containsKey(candidate.engine())) {
        remainingCounts[candidate.deployment()]--;
        assigned.put(candidate.engine(), EngineTarget.of(deployments.get(candidate.deployment())));
      }
    }
    return ImmutableMap.copyOf(assigned);
  }

  /**
   * Returns the number of engines for each deployment, by the largest remainder method.
   *
   * <p>Each count differs from the exact share by less than 1.
   */
  private static int[] engineCounts(List<ModelDeployment> deployments, int engineCount) {
    int[] counts = new int[deployments.size()];
    double shareSum = 0;
    int assignedCount = 0;
    for (int i = 0; i < counts.length; i++) {
      double exact = deployments.get(i).share() * engineCount;
      counts[i] = (int) Math.floor(exact);
      assignedCount += counts[i];
      shareSum += deployments.get(i).share();
    }
    int targetCount = (int) Math.round(Math.min(1, shareSum) * engineCount);
    for (int index : indexesByRemainder(deployments, engineCount)) {
      if (assignedCount < targetCount) {
        counts[index]++;
        assignedCount++;
      }
    }
    return counts;
  }

  private static ImmutableList<Integer> indexesByRemainder(
      List<ModelDeployment> deployments, int engineCount) {
    List<Integer> indexes = new ArrayList<>();
    for (int i = 0; i < deployments.size(); i++) {
      indexes.add(i);
    }
    indexes.sort(
        Comparator.comparingDouble(
            (Integer i) -> {
              double exact = deployments.get(i).share() * engineCount;
              return Math.floor(exact) - exact;
            }));
    return ImmutableList.copyOf(indexes);
  }

  private static List<Candidate> rankedCandidates(
      List<ModelDeployment> deployments, Collection<String> engines) {
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < deployments.size(); i++) {
      ModelDeployment deployment = deployments.get(i);
      // The key omits the version, so that a new version is placed on the same engines.
      String key = deployment.pool() + "/" + deployment.model() + "/" + deployment.role().label();
      for (String engine : engines) {
        candidates.add(new Candidate(i, engine, RendezvousHash.score(key, engine)));
      }
    }
    candidates.sort(Candidate.HIGHEST_FIRST);
    return candidates;
  }

  private record Candidate(int deployment, String engine, long score) {
    static final Comparator<Candidate> HIGHEST_FIRST =
        Comparator.<Candidate, Long>comparing(Candidate::score, UnsignedLongs::compare)
            .reversed()
            .thenComparing(Candidate::engine)
            .thenComparingInt(Candidate::deployment);
  }
}
