package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link AddressSelector}. */
public class AddressSelectorTest {
  private static MemberRecord member(int i, String domain, MemberState state, int load) {
    return new MemberRecord("node-" + i, "1", "c" + i, "p" + i, domain, state, 1, 1, load);
  }

  private static List<MemberRecord> fleet(int size) {
    List<MemberRecord> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      members.add(member(i, "domain-" + i % 4, MemberState.ALIVE, 10));
    }
    return members;
  }

  /** Guards against all callers using the same node because all answers start with it. */
  @Test
  public void firstPlacesAreEvenlyDistributed() {
    Multiset<String> first = HashMultiset.create();
    for (long turn = 0; turn < 80; turn++) {
      first.add(AddressSelector.select(fleet(8), ImmutableSet.of(), "", turn).get(0).node());
    }
    first.entrySet().forEach(e -> assertEquals(e.getCount(), 10, e.getElement()));
    assertEquals(first.elementSet().size(), 8);
  }

  /** Guards against a single node taking over all callers of a failed node. */
  @Test
  public void callersOfAFailedNodeSpreadOverTheOthers() {
    Multiset<String> second = HashMultiset.create();
    for (long turn = 0; turn < 5_600; turn++) {
      List<MemberRecord> list = AddressSelector.select(fleet(8), ImmutableSet.of(), "", turn);
      if (list.get(0).node().equals("node-0")) {
        second.add(list.get(1).node());
      }
    }
    assertEquals(second.elementSet().size(), 7);
    second.entrySet().forEach(e -> assertEquals(e.getCount(), 100, 35, e.getElement()));
  }

  /** Guards against answers that contain a node that accepts no new work. */
  @Test
  public void leavingAndGoneNodesAreNeverReturned() {
    List<MemberRecord> members = fleet(3);
    members.add(member(3, "domain-0", MemberState.LEAVING, 0));
    members.add(member(4, "domain-0", MemberState.GONE, 0));
    List<MemberRecord> list =
        AddressSelector.select(members, ImmutableSet.of("node-1"), "domain-0", 5);
    assertEquals(
        list.stream().map(MemberRecord::node).collect(ImmutableSet.toImmutableSet()),
        ImmutableSet.of("node-0", "node-2"));
  }

  /** Guards against nodes of other failure domains or loaded nodes before near and idle ones. */
  @Test
  public void nearThenLightlyLoadedNodesComeFirst() {
    List<MemberRecord> members = new ArrayList<>();
    members.add(member(0, "domain-a", MemberState.ALIVE, 95));
    members.add(member(1, "domain-b", MemberState.ALIVE, 60));
    members.add(member(2, "domain-b", MemberState.ALIVE, 5));
    members.add(member(3, "domain-a", MemberState.ALIVE, 60));
    members.add(member(4, "domain-a", MemberState.ALIVE, 5));
    for (long turn = 0; turn < 10; turn++) {
      List<MemberRecord> list =
          AddressSelector.select(members, ImmutableSet.of(), "domain-a", turn);
      assertEquals(
          list.stream().map(MemberRecord::node).toList(),
          List.of("node-4", "node-3", "node-2", "node-1", "node-0"));
    }
  }

  /** Guards against answers whose size grows with the fleet. */
  @Test
  public void answerIsBounded() {
    List<MemberRecord> list = AddressSelector.select(fleet(460), ImmutableSet.of(), "domain-1", 3);
    assertEquals(list.size(), AddressSelector.MAX_ADDRESSES);
    assertTrue(list.stream().allMatch(r -> r.failureDomain().equals("domain-1")));
  }
}
