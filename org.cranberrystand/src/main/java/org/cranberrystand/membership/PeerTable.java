package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cranberrystand.dispatch.UpstreamUsage;

/**
 * The last report of every other node. Not thread-safe.
 *
 * <p>A node that falls silent first stops to count for placement, then for the number of nodes, and
 * is called for longer, so that it is found again after a restart or a partition.
 */
public final class PeerTable {
  /** Reports come several times a second; older ones describe requests that have mostly ended. */
  private static final long FRESH_NANOS = 1_000_000_000L;

  /** A silent node may still serve behind a partition; after this it counts as gone. */
  private static final long GONE_NANOS = 12_000_000_000L;

  /** Silent nodes are called this long. */
  private static final long FORGET_NANOS = 120_000_000_000L;

  private static final class Peer {
    private PeerReport report;
    private long heardNanos;
  }

  private final String self;
  private ImmutableSet<String> seeds;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * Creates a table without peers.
   *
   * @param self the name of this node
   * @param seeds addresses of VMs to call first
   */
  public PeerTable(String self, ImmutableSet<String> seeds) {
    this.self = self;
    this.seeds = seeds;
  }

  /**
   * Takes a report.
   *
   * @param report the report
   * @param nowNanos the time
   * @return true if it is newer than what was known
   */
  public boolean received(PeerReport report, long nowNanos) {
    if (report.node().equals(self)) {
      return false;
    }
    Peer peer = peers.computeIfAbsent(report.node(), n -> new Peer());
    boolean sameLife = peer.report != null && peer.report.incarnation() == report.incarnation();
    if (sameLife && report.sequence() <= peer.report.sequence()) {
      return false;
    }
    peer.report = report;
    peer.heardNanos = nowNanos;
    return true;
  }

  /**
   * Replaces the addresses to call first.
   *
   * @param value addresses of VMs
   */
  public void setSeeds(ImmutableSet<String> value) {
    seeds = value;
  }

  /**
   * Returns where to send reports.
   *
   * @param ownHost the address of this VM, which is left out
   * @return addresses of VMs
   */
  public ImmutableSet<String> targets(String ownHost) {
    Set<String> targets = new LinkedHashSet<>(seeds);
    for (Peer peer : peers.values()) {
      targets.add(peer.report.host());
      targets.addAll(peer.report.hosts());
    }
    targets.remove(ownHost);
    return ImmutableSet.copyOf(targets);
  }

  /**
   * Returns the addresses of the nodes heard lately.
   *
   * @param nowNanos the time
   * @return addresses of VMs
   */
  public ImmutableList<String> freshHosts(long nowNanos) {
    return peers.values().stream()
        .filter(peer -> isFresh(peer, nowNanos))
        .map(peer -> peer.report.host())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns what the other nodes use.
   *
   * @param nowNanos the time
   * @return the usage by upstream
   */
  public ImmutableMap<String, UpstreamUsage> usage(long nowNanos) {
    Map<String, UpstreamUsage> sum = new HashMap<>();
    for (Peer peer : peers.values()) {
      if (isFresh(peer, nowNanos)) {
        peer.report.usage().forEach((id, usage) -> sum.merge(id, usage, UpstreamUsage::plus));
      }
    }
    return ImmutableMap.copyOf(sum);
  }

  /**
   * Returns the nodes to which callers may be sent.
   *
   * <p>If no node is heard at all, this node is probably cut off, and the last reports stand.
   *
   * @param nowNanos the time
   * @return the reports of these nodes
   */
  public ImmutableList<PeerReport> offered(long nowNanos) {
    boolean heardAny = peers.values().stream().anyMatch(peer -> isFresh(peer, nowNanos));
    return peers.values().stream()
        .filter(peer -> peer.report.offered())
        .filter(
            peer -> heardAny ? isFresh(peer, nowNanos) : nowNanos - peer.heardNanos < GONE_NANOS)
        .map(peer -> peer.report)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the number of nodes that probably serve, this one included.
   *
   * <p>A silent node may be cut off and serve, unless its last report said that it stops.
   *
   * @param nowNanos the time
   * @return at least 1
   */
  public int nodeCount(long nowNanos) {
    return 1
        + (int)
            peers.values().stream()
                .filter(
                    peer ->
                        isFresh(peer, nowNanos)
                            || (peer.report.offered() && nowNanos - peer.heardNanos < GONE_NANOS))
                .count();
  }

  /**
   * Returns which part of the nodes that probably serve can be heard.
   *
   * @param nowNanos the time
   * @return above 0, at most 1
   */
  public double visibleFraction(long nowNanos) {
    long fresh = peers.values().stream().filter(peer -> isFresh(peer, nowNanos)).count();
    return (1.0 + fresh) / nodeCount(nowNanos);
  }

  /**
   * Returns the node heard lately that knows the newest published state.
   *
   * @param nowNanos the time
   * @return its report
   */
  public Optional<PeerReport> newestRevision(long nowNanos) {
    return peers.values().stream()
        .filter(peer -> isFresh(peer, nowNanos))
        .map(peer -> peer.report)
        .max(Comparator.comparingLong(PeerReport::revision));
  }

  /**
   * Removes nodes that were silent for long.
   *
   * @param nowNanos the time
   * @return the lives of the removed nodes
   */
  public ImmutableList<String> forgetSilent(long nowNanos) {
    ImmutableList<String> gone =
        peers.values().stream()
            .filter(peer -> nowNanos - peer.heardNanos > FORGET_NANOS)
            .map(peer -> peer.report.life())
            .collect(ImmutableList.toImmutableList());
    peers.values().removeIf(peer -> nowNanos - peer.heardNanos > FORGET_NANOS);
    return gone;
  }

  private static boolean isFresh(Peer peer, long nowNanos) {
    return nowNanos - peer.heardNanos < FRESH_NANOS;
  }
}
