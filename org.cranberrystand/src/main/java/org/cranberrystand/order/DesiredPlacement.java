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
 * Assigns the engines of a pool to the deployments of a bundle.
 *
 * <p>The result depends only on the deployments and the names of the engines, so that nodes which
 * know the same of both never want different things. When an engine comes or goes, few of the
 * others change. Stateless.
 */
public final class DesiredPlacement {
  private DesiredPlacement() {}

  /**
   * Assigns engines to deployments.
   *
   * @param deployments the deployments of one pool
   * @param engines the names of the engines of that pool
   * @return the target of each assigned engine; engines beyond the declared shares are absent
   */
  public static ImmutableMap<String, EngineTarget> assign(
      List<ModelDeployment> deployments, Collection<String> engines) {
    int[] free = quotas(deployments, engines.size());
    Map<String, EngineTarget> assigned = new HashMap<>();
    for (Candidate candidate : candidates(deployments, engines)) {
      if (free[candidate.deployment()] > 0 && !assigned.containsKey(candidate.engine())) {
        free[candidate.deployment()]--;
        assigned.put(candidate.engine(), EngineTarget.of(deployments.get(candidate.deployment())));
      }
    }
    return ImmutableMap.copyOf(assigned);
  }

  /** Largest-remainder apportionment, so that the counts differ from the shares by less than 1. */
  private static int[] quotas(List<ModelDeployment> deployments, int engineCount) {
    int[] quotas = new int[deployments.size()];
    double shareSum = 0;
    int given = 0;
    for (int i = 0; i < quotas.length; i++) {
      double exact = deployments.get(i).share() * engineCount;
      quotas[i] = (int) Math.floor(exact);
      given += quotas[i];
      shareSum += deployments.get(i).share();
    }
    int wanted = (int) Math.round(Math.min(1, shareSum) * engineCount);
    for (int index : byRemainder(deployments, engineCount)) {
      if (given < wanted) {
        quotas[index]++;
        given++;
      }
    }
    return quotas;
  }

  private static ImmutableList<Integer> byRemainder(
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

  private static List<Candidate> candidates(
      List<ModelDeployment> deployments, Collection<String> engines) {
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < deployments.size(); i++) {
      ModelDeployment deployment = deployments.get(i);
      // The version is left out of the key so that a new version lands on the same engines.
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
