package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.bundle.Tier;

/** Last known load of the other nodes, and the choice of one for a hand-over. Not thread-safe. */
final class PeerLoads {
  private static final class Entry {
    private final SchedulerEvent.PeerLoad load;
    private double roomTokens;
    private double lowerBacklog;

    Entry(SchedulerEvent.PeerLoad load) {
      this.load = load;
      this.roomTokens = load.roomTokens();
      load.backlogTokens()
          .forEach((tier, tokens) -> this.lowerBacklog += tier == Tier.URGENT ? 0 : tokens);
    }

    double capacity() {
      return roomTokens + lowerBacklog;
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

  /** Takes the cost of a request from the peer with the most room or lower-tier backlog. */
  Optional<String> takeRoom(double cost) {
    Entry best = null;
    for (Entry entry : entries) {
      if (entry.capacity() >= cost && (best == null || entry.capacity() > best.capacity())) {
        best = entry;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    double fromRoom = Math.min(cost, best.roomTokens);
    best.roomTokens -= fromRoom;
    best.lowerBacklog -= cost - fromRoom;
    return Optional.of(best.load.node());
  }
}
