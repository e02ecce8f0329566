package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.membership.LoadSummary;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MemberState;
import org.cranberrystand.membership.MembershipTable;
import org.cranberrystand.schedule.SchedulerEvent;

/** Converts the peer loads of a membership table to the form of the scheduler. Stateless. */
final class PeerLoadConverter {
  private PeerLoadConverter() {}

  /** Returns the loads of the other members that are alive. */
  static ImmutableList<SchedulerEvent.PeerLoad> of(MembershipTable table) {
    String self = table.self().node();
    return table.loads().stream()
        .filter(load -> !load.node().equals(self) && isAlive(table, load.node()))
        .map(PeerLoadConverter::toPeerLoad)
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean isAlive(MembershipTable table, String node) {
    return table.find(node).map(MemberRecord::state).orElse(null) == MemberState.ALIVE;
  }

  private static SchedulerEvent.PeerLoad toPeerLoad(LoadSummary load) {
    return new SchedulerEvent.PeerLoad(
        load.node(),
        load.backlogTokens(),
        load.roomTokens(),
        load.teamTokensPerSecond(),
        load.demandTokensPerSecond());
  }
}
