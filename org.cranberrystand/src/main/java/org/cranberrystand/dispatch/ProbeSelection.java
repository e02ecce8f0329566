package org.cranberrystand.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Selects the upstreams by which a node finds out whether it reaches their pool. Stateless. */
final class ProbeSelection {
  private ProbeSelection() {}

  /** Returns the upstreams to which to open a connection; those not known to fail first. */
  static List<RegisteredUpstream> take(
      PoolReach reach,
      Collection<UpstreamState> upstreams,
      Collection<RunningCall> running,
      SplittableRandom random,
      long nowNanos) {
    int count = reach.takeProbes(silentNanos(upstreams, running, nowNanos), nowNanos);
    if (count == 0) {
      return List.of();
    }
    List<RegisteredUpstream> candidates =
        new ArrayList<>(upstreams.stream().map(UpstreamState::upstream).toList());
    Collections.shuffle(candidates, new Random(random.nextLong()));
    candidates.sort(Comparator.comparing(candidate -> reach.hasFailed(candidate.id())));
    List<RegisteredUpstream> probed = candidates.subList(0, Math.min(count, candidates.size()));
    reach.probing(probed.stream().map(RegisteredUpstream::id).collect(Collectors.toSet()));
    return probed;
  }

  /** Returns how long nothing has come from any upstream while requests were in progress. */
  private static long silentNanos(
      Collection<UpstreamState> upstreams, Collection<RunningCall> running, long nowNanos) {
    if (running.isEmpty()) {
      return 0;
    }
    long silentNanos =
        running.stream().mapToLong(call -> nowNanos - call.sentNanos()).max().orElseThrow();
    for (UpstreamState state : upstreams) {
      silentNanos = Math.min(silentNanos, state.silentNanos(nowNanos));
    }
    return silentNanos;
  }
}
