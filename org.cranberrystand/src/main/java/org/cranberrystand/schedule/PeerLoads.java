package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.bundle.Tier;

/** Last reported load of the peers; selects the peer for a hand-over. Not thread-safe. */
final class PeerLoads {
  private static final class Entry {
    private final SchedulerEvent.PeerLoad load;
    private double roomTokens;
    private double lowerTierBacklogTokens;

    Entry(SchedulerEvent.PeerLoad load) {
      this.load = load;
      this.roomTokens = load.roomTokens();
      load.backlogTokens()
          .forEach(
              (tier, tokens) -> this.lowerTierBacklogTokens += tier == Tier.URGENT ? 0 : tokens);
    }

    double availableTokens() {
      return roomTokens + lowerTierBacklogTokens;
    }
  }

  private final List<Entry> entries = new ArrayList<>();

  void update(ImmutableList<SchedulerEvent.PeerLoad> loads) {
    entries.clear();
    loads.forEach(load -> entries.add(new Entry(load)));
  }

  List<SchedulerEvent.PeerLoad> loads() {
    return entries.stream().map(e -> e.load).toList();
  }

  /**
   * Selects the peer with the most capacity for urgent work and deducts the cost of a request.
   *
   * <p>The backlog of lower tiers counts as capacity, since a peer evicts it for urgent work.
   *
   * @return the name of the peer, or empty if none has enough capacity
   */
  Optional<String> reservePeer(double costTokens) {
    Entry best = null;
    for (Entry entry : entries) {
      if (entry.availableTokens() >= costTokens
          && (best == null || entry.availableTokens() > best.availableTokens())) {
        best = entry;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    double fromRoomTokens = Math.min(costTokens, best.roomTokens);
    best.roomTokens -= fromRoomTokens;
    best.lowerTierBacklogTokens -= costTokens - fromRoomTokens;
    return Optional.of(best.load.node());
  }
}
