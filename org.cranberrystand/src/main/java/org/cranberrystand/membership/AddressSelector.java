package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.cranberrystand.placement.RendezvousHash;

/**
 * Selects and orders the nodes whose addresses are returned to a caller.
 *
 * <p>Nodes in the failure domain of the caller come before others and, within each domain, lightly
 * loaded nodes before moderately loaded ones. Suspect and heavily loaded nodes come last. Within
 * such a group the first node rotates with each answer, and the rest are shuffled per answer, so
 * that the callers of a failed node spread over all others. The result depends only on the
 * arguments. Stateless.
 */
public final class AddressSelector {
  /** Bounds the size of an answer in a large fleet; more addresses do not help a caller. */
  public static final int MAX_ADDRESSES = 16;

  private static final int MODERATE_LOAD_PERCENT = 50;
  private static final int HIGH_LOAD_PERCENT = 85;
  private static final int GROUP_COUNT = 5;

  private AddressSelector() {}

  /**
   * Selects and orders nodes.
   *
   * @param members the known nodes, including the one that answers
   * @param excluded names of nodes that other sources report as leaving
   * @param callerDomain the failure domain of the caller, or an empty string
   * @param turn the number of the answer; grows by one with each answer of this node
   * @return at most {@link #MAX_ADDRESSES} nodes, the preferred one first
   */
  public static ImmutableList<MemberRecord> select(
      Iterable<MemberRecord> members, Set<String> excluded, String callerDomain, long turn) {
    List<List<MemberRecord>> groups = new ArrayList<>();
    for (int i = 0; i < GROUP_COUNT; i++) {
      groups.add(new ArrayList<>());
    }
    for (MemberRecord member : members) {
      if (member.state().acceptsCallers() && !excluded.contains(member.node())) {
        groups.get(priorityGroup(member, callerDomain)).add(member);
      }
    }
    ImmutableList.Builder<MemberRecord> ordered = ImmutableList.builder();
    groups.forEach(group -> ordered.addAll(orderGroup(group, turn)));
    ImmutableList<MemberRecord> all = ordered.build();
    return all.subList(0, Math.min(MAX_ADDRESSES, all.size()));
  }

  private static int priorityGroup(MemberRecord member, String callerDomain) {
    if (member.state() == MemberState.SUSPECT || member.loadPercent() >= HIGH_LOAD_PERCENT) {
      return GROUP_COUNT - 1;
    }
    int domainGroup = member.failureDomain().equals(callerDomain) ? 0 : 2;
    return domainGroup + (member.loadPercent() >= MODERATE_LOAD_PERCENT ? 1 : 0);
  }

  private static List<MemberRecord> orderGroup(List<MemberRecord> group, long turn) {
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
