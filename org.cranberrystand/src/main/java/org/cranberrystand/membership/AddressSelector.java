package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.cranberrystand.placement.RendezvousHash;

/**
 * Orders the addresses that are offered to a caller.
 *
 * <p>Nodes near the caller come first, then lightly loaded ones; heavily loaded ones come last.
 * Within a group of equal nodes each takes the first place equally often, and the places after it
 * are shuffled per answer, so that callers of a node that fails spread over all others. The result
 * depends only on the arguments. Stateless.
 */
public final class AddressSelector {
  /** Addresses per answer; more do not help a caller and cost bytes in a large fleet. */
  public static final int MAX_ADDRESSES = 16;

  private static final int BUSY_PERCENT = 50;
  private static final int HEAVY_PERCENT = 85;
  private static final int GROUPS = 5;

  private AddressSelector() {}

  /**
   * Selects and orders nodes.
   *
   * @param members the nodes known, the answering one included
   * @param excluded names of nodes that other sources list as leaving
   * @param callerDomain the failure domain of the caller, or an empty string
   * @param turn a number that grows by one with each answer of the node
   * @return the nodes to offer, the preferred one first
   */
  public static ImmutableList<MemberRecord> select(
      Iterable<MemberRecord> members, Set<String> excluded, String callerDomain, long turn) {
    List<List<MemberRecord>> groups = new ArrayList<>();
    for (int i = 0; i < GROUPS; i++) {
      groups.add(new ArrayList<>());
    }
    for (MemberRecord member : members) {
      if (member.state().isOffered() && !excluded.contains(member.node())) {
        groups.get(groupOf(member, callerDomain)).add(member);
      }
    }
    ImmutableList.Builder<MemberRecord> ordered = ImmutableList.builder();
    groups.forEach(group -> ordered.addAll(rotate(group, turn)));
    ImmutableList<MemberRecord> all = ordered.build();
    return all.subList(0, Math.min(MAX_ADDRESSES, all.size()));
  }

  private static int groupOf(MemberRecord member, String callerDomain) {
    if (member.state() == MemberState.SUSPECT || member.loadPercent() >= HEAVY_PERCENT) {
      return GROUPS - 1;
    }
    int far = member.failureDomain().equals(callerDomain) ? 0 : 2;
    return far + (member.loadPercent() >= BUSY_PERCENT ? 1 : 0);
  }

  private static List<MemberRecord> rotate(List<MemberRecord> group, long turn) {
    if (group.size() < 2) {
      return group;
    }
    group.sort(Comparator.comparing(MemberRecord::node));
    MemberRecord first = group.remove((int) Math.floorMod(turn, (long) group.size()));
    List<MemberRecord> ordered = new ArrayList<>(group);
    String key = Long.toString(turn);
    ordered.sort(Comparator.comparingLong(r -> RendezvousHash.score(key, r.node())));
    ordered.add(0, first);
    return ordered;
  }
}
