package org.cranberrystand.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the member to exchange digests with next.
 *
 * <p>Members are visited in a random order that is drawn again after each round, so that every
 * member is probed within two rounds and the cost per period does not grow with the fleet. Not
 * thread-safe.
 */
public final class ProbeOrder {
  private final Random random;
  private final Deque<String> round = new ArrayDeque<>();

  /**
   * Creates an order.
   *
   * @param random the source of the order
   */
  public ProbeOrder(Random random) {
    this.random = random;
  }

  /**
   * Returns the next member.
   *
   * @param view the members known now
   * @return a member that is not gone, or empty when there is none
   */
  public Optional<MemberRecord> next(MembershipView view) {
    Optional<MemberRecord> member = pollRound(view);
    if (member.isPresent()) {
      return member;
    }
    List<String> names = new ArrayList<>();
    view.all().stream().filter(ProbeOrder::isProbed).forEach(r -> names.add(r.node()));
    Collections.shuffle(names, random);
    round.addAll(names);
    return pollRound(view);
  }

  /**
   * Returns random members that answer.
   *
   * @param view the members known now
   * @param count the largest number to return
   * @param except the name of a member to leave out
   * @return the members
   */
  public List<MemberRecord> sample(MembershipView view, int count, String except) {
    List<MemberRecord> members = new ArrayList<>();
    for (MemberRecord member : view.all()) {
      boolean answers =
          member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING;
      if (answers && !member.node().equals(except)) {
        members.add(member);
      }
    }
    Collections.shuffle(members, random);
    return members.subList(0, Math.min(count, members.size()));
  }

  private Optional<MemberRecord> pollRound(MembershipView view) {
    while (!round.isEmpty()) {
      Optional<MemberRecord> member = view.find(round.poll());
      if (member.isPresent() && isProbed(member.get())) {
        return member;
      }
    }
    return Optional.empty();
  }

  private static boolean isProbed(MemberRecord member) {
    return member.state() != MemberState.GONE;
  }
}
