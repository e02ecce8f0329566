package org.cranberrystand.membership;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;

/**
 * A snapshot of the members known to one node, without the node itself.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class MembershipView {
  private static final MembershipView EMPTY = new MembershipView(ImmutableMap.of());

  private final ImmutableMap<String, MemberRecord> byNode;

  private MembershipView(ImmutableMap<String, MemberRecord> byNode) {
    this.byNode = byNode;
  }

  /**
   * Returns a view without members.
   *
   * @return the empty view
   */
  public static MembershipView empty() {
    return EMPTY;
  }

  /**
   * Creates a view.
   *
   * @param records the records of the members; node names must be unique
   * @return an immutable view
   */
  public static MembershipView of(Collection<MemberRecord> records) {
    return new MembershipView(
        records.stream().collect(ImmutableMap.toImmutableMap(MemberRecord::node, r -> r)));
  }

  public Optional<MemberRecord> find(String node) {
    return Optional.ofNullable(byNode.get(node));
  }

  public ImmutableCollection<MemberRecord> all() {
    return byNode.values();
  }
}
