package org.cranberrystand.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the next member to probe with a digest exchange.
 *
 * <p>Members are probed in a random order that is reshuffled after each round. Every member is
 * therefore probed within two rounds, and the cost per period is independent of the fleet size. Not
 * thread-safe.
 */
public final class ProbeOrder {
  private final Random random;
  private final Deque<String> round = new ArrayDeque<>();

  /**
   * Creates an order.
   *
   * @param random the source of randomness
   */
  public ProbeOrder(Random random) {
    this.random = random;
  }

  /**
   * Returns the next member to probe.
   *
   * @param view the current members
   * @return a member that is not gone, or empty if there is none
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
   * Returns random members that are alive or leaving.
   *
   * @param view the current members
   * @param count the maximum number of members
   * @param except the name of a member to exclude
   * @return the members
   */
  public List<MemberRecord> sample(MembershipView view, int count, String except) {
    List<MemberRecord> members = new ArrayList<>();
    for (MemberRecord member : view.all()) {
      boolean responsive =
          member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING;
      if (responsive && !member.node().equals(except)) {
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
