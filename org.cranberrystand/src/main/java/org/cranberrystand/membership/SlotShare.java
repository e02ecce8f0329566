package org.cranberrystand.membership;

import java.util.Collection;

/**
 * Divides the slots of an upstream among the nodes of the cell that uses it.
 *
 * <p>Nodes see each other's use late, so two of them may take the same free slot. Where an upstream
 * must not refuse much, each node uses slots of its own instead. Nodes agree on them without
 * messages, by rendezvous hashing. Stateless.
 */
final class SlotShare {
  private SlotShare() {}

  /**
   * Returns how many slots of an upstream a node may use.
   *
   * @param upstream the identifier of the upstream
   * @param slots the number of slots of the upstream
   * @param ownHost the address of the node
   * @param hosts the addresses of all nodes of the cell that may use the upstream
   * @return the number of slots; over all hosts, the sum is {@code slots}
   */
  static int slots(String upstream, int slots, String ownHost, Collection<String> hosts) {
    long ownRank = CellLayout.hash(upstream + "@" + ownHost);
    long ahead =
        hosts.stream().filter(host -> CellLayout.hash(upstream + "@" + host) < ownRank).count();
    return slots / hosts.size() + (ahead < slots % hosts.size() ? 1 : 0);
  }
}
