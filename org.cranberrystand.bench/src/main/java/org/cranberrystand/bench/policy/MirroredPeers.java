package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.SchedulerEvent.PeerLoad;

/**
 * Script of other nodes that have the same demand as the node that is measured.
 *
 * <p>Their running work appears on the engines as copies of the node's own dispatches. Their loads
 * are published with the lag of the views.
 */
final class MirroredPeers {
  private static final int PEERS = 7;

  private final Simulation simulation;
  private final List<SimRequest> requests;
  private int peers = PEERS;

  /** The node joins peers that share the whole capacity already. */
  MirroredPeers(Workload workload, Simulation simulation, List<SimRequest> requests) {
    this.simulation = simulation;
    this.requests = requests;
    simulation.ghostsPerDispatch(PEERS);
    double capacity = workload.capacityTokensPerSecond(workload.modelKind(Tier.URGENT));
    ImmutableMap.Builder<String, Long> teams = ImmutableMap.builder();
    workload
        .teams()
        .forEach(t -> teams.put(t.name(), (long) (capacity * workload.shareOf(t) / (PEERS + 1))));
    feed(ImmutableMap.of(), teams.buildOrThrow());
  }

  /** Ends one node. Its running work stays, and the views learn of the loss with their lag. */
  void loseOne() {
    simulation.ghostsPerDispatch(PEERS - 1);
    simulation.after(Run.VIEW_LAG_NANOS, () -> peers = PEERS - 1);
  }

  /** Publishes the loads of now, to be seen after the lag. */
  void publish() {
    ImmutableMap<Tier, Long> backlog = ImmutableMap.copyOf(simulation.queued().tokensByTier());
    ImmutableMap<String, Long> teams = recentTeamTokens();
    simulation.after(Run.VIEW_LAG_NANOS, () -> feed(backlog, teams));
  }

  private void feed(ImmutableMap<Tier, Long> backlog, ImmutableMap<String, Long> teams) {
    ImmutableList.Builder<PeerLoad> loads = ImmutableList.builder();
    for (int i = 0; i < peers; i++) {
      loads.add(new PeerLoad("node-" + (i + 2), backlog, 0, teams));
    }
    simulation.feed(
        new SchedulerEvent.PeersChanged(Run.NODE, loads.build(), simulation.nowNanos()));
  }

  private ImmutableMap<String, Long> recentTeamTokens() {
    long since = simulation.nowNanos() - Run.VIEW_LAG_NANOS;
    Map<String, Long> tokens = new HashMap<>();
    for (SimRequest request : requests) {
      if (request.item.arrivalNanos() > simulation.nowNanos()) {
        break;
      }
      if (request.dispatchNanos >= since) {
        tokens.merge(request.item.team(), request.costTokens(), Long::sum);
      }
    }
    return ImmutableMap.copyOf(new TreeMap<>(tokens));
  }
}
