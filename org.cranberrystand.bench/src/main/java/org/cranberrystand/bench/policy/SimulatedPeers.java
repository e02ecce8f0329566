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
 * Simulates other nodes with the same demand as the node under test.
 *
 * <p>The running requests of these peers are copies of the dispatches of the node under test. Load
 * reports of peers arrive after {@link Run#PROPAGATION_DELAY_NANOS}.
 */
final class SimulatedPeers {
  private static final int PEER_COUNT = 7;

  private final Simulation simulation;
  private final List<SimRequest> requests;
  private int livePeers = PEER_COUNT;

  /** Starts with peers that already use the whole capacity of the engines. */
  SimulatedPeers(Workload workload, Simulation simulation, List<SimRequest> requests) {
    this.simulation = simulation;
    this.requests = requests;
    simulation.setPeerCopiesPerDispatch(PEER_COUNT);
    double capacityTokensPerSecond =
        workload.capacityTokensPerSecond(workload.modelKind(Tier.URGENT));
    ImmutableMap.Builder<String, Long> teams = ImmutableMap.builder();
    workload
        .teams()
        .forEach(
            t ->
                teams.put(
                    t.name(),
                    (long) (capacityTokensPerSecond * workload.weightShare(t) / (PEER_COUNT + 1))));
    sendPeerLoads(ImmutableMap.of(), teams.buildOrThrow());
  }

  /**
   * Removes one peer. Its running requests stay at the engines, and the node under test learns of
   * the loss after the propagation delay.
   */
  void removePeer() {
    simulation.setPeerCopiesPerDispatch(PEER_COUNT - 1);
    simulation.scheduleAfter(Run.PROPAGATION_DELAY_NANOS, () -> livePeers = PEER_COUNT - 1);
  }

  /** Publishes the current loads, which arrive after the propagation delay. */
  void publishLoads() {
    ImmutableMap<Tier, Long> backlog = ImmutableMap.copyOf(simulation.queueCounts().tokensByTier());
    ImmutableMap<String, Long> teams = recentTokensByTeam();
    simulation.scheduleAfter(Run.PROPAGATION_DELAY_NANOS, () -> sendPeerLoads(backlog, teams));
  }

  private void sendPeerLoads(ImmutableMap<Tier, Long> backlog, ImmutableMap<String, Long> teams) {
    ImmutableList.Builder<PeerLoad> loads = ImmutableList.builder();
    for (int i = 0; i < livePeers; i++) {
      loads.add(new PeerLoad("node-" + (i + 2), backlog, 0, teams));
    }
    simulation.handleEvent(
        new SchedulerEvent.PeersChanged(Run.LOCAL_NODE, loads.build(), simulation.nowNanos()));
  }

  private ImmutableMap<String, Long> recentTokensByTeam() {
    long sinceNanos = simulation.nowNanos() - Run.PROPAGATION_DELAY_NANOS;
    Map<String, Long> tokens = new HashMap<>();
    for (SimRequest request : requests) {
      if (request.item.arrivalNanos() > simulation.nowNanos()) {
        break;
      }
      if (request.dispatchNanos >= sinceNanos) {
        tokens.merge(request.item.team(), request.costTokens(), Long::sum);
      }
    }
    return ImmutableMap.copyOf(new TreeMap<>(tokens));
  }
}
