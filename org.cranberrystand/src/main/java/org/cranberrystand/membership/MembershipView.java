package org.cranberrystand.membership;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;

/**
 * All nodes known to one node at one time, without itself.
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
   * Returns a view without nodes.
   *
   * @return the empty view
   */
  public static MembershipView empty() {
    return EMPTY;
  }

  /**
   * Creates a view.
   *
   * @param records the nodes; names must be unique
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
