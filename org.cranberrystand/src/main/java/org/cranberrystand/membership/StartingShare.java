package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The slots of upstreams that a node may use while it has just started. Not thread-safe.
 *
 * <p>Nodes that start together are slow to report their use, and would all take the same slots.
 */
public final class StartingShare {
  /**
   * How long the reports of nodes that start together are late: much of their code is not compiled
   * yet, while all callers return at once.
   */
  private static final long SETTLING_NANOS = 5_000_000_000L;

  /** A node that has heard no other one for this time after its start is probably alone. */
  private static final long FIRST_REPORT_NANOS = 3_000_000_000L;

  private final PeerTable table;
  private final long startNanos;

  /**
   * Creates the share of a node that starts now.
   *
   * @param table the reports of the other nodes
   * @param nowNanos the current monotonic time, in nanoseconds
   */
  public StartingShare(PeerTable table, long nowNanos) {
    this.table = table;
    this.startNanos = nowNanos;
  }

  /**
   * Returns whether this node has started so recently that it and others may see each other's use
   * late.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return false if the fleet has no other node
   */
  public boolean isSettling(long nowNanos) {
    OptionalLong firstReportNanos = table.firstReportNanos();
    return table.expectsPeers()
        && (firstReportNanos.isPresent()
            ? nowNanos - firstReportNanos.getAsLong() < SETTLING_NANOS
            : nowNanos - startNanos < FIRST_REPORT_NANOS);
  }

  /**
   * Returns how many slots of an upstream this node may use.
   *
   * @param upstream the identifier of the upstream
   * @param slots the number of slots of the upstream
   * @param cellWeights the weights of the cells
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the number of slots, at least 1; {@link Integer#MAX_VALUE} once the node has settled
   */
  public int slots(String upstream, int slots, ImmutableList<Double> cellWeights, long nowNanos) {
    if (!isSettling(nowNanos)) {
      return Integer.MAX_VALUE;
    }
    if (!table.isPreferredUpstream(upstream, cellWeights)) {
      return 1;
    }
    List<String> hosts = table.sharingHosts(nowNanos);
    for (int i = hosts.size(); isLearning(nowNanos) && i < CellLayout.MAX_SINGLE_CELL_NODES; i++) {
      hosts.add("unknown-" + i);
    }
    return Math.max(1, SlotShare.slots(upstream, slots, table.self().host(), hosts));
  }

  /** Returns whether nodes are missing among those that this one has heard. */
  private boolean isLearning(long nowNanos) {
    OptionalLong firstReportNanos = table.firstReportNanos();
    return firstReportNanos.isEmpty()
        || nowNanos - firstReportNanos.getAsLong() < PeerTable.LEARNING_NANOS;
  }
}
