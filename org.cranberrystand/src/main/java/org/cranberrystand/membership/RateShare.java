package org.cranberrystand.membership;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.RateBound;
import org.cranberrystand.dispatch.UpstreamLimits;

/**
 * The share of one node in the requests that upstreams accept from all nodes together.
 *
 * <p>The requests of one window are divided into permits, each for one request. Permits are
 * assigned by rendezvous hashing over all nodes of the fleet, so nodes agree without messages, and
 * few permits move when a node joins or leaves. There are fewer permits than a window may contain
 * requests, because a node that does not know some others assumes too small a fleet and takes more
 * permits than its own. Designed for 460 nodes and 3,100 upstreams. Immutable.
 */
public final class RateShare {
  /** Requests that are sent a window apart may arrive up to this much closer together. */
  private static final double ARRIVAL_JITTER_SECONDS = 0.05;

  /**
   * How many times its permits a fleet may use in which each node knows only 0.8 of the others:
   * 1.25 times on average, and more by chance.
   */
  private static final double MAX_OVERUSE = 1.5;

  /** With several nodes, the upstream is still in use if one of them fails. */
  private static final long MIN_PERMITS = 2;

  /** An upstream that states no rate above zero is asked this often whether that still holds. */
  private static final double MAX_INTERVAL_NANOS = 10e9;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** The share of a node that must not use limited upstreams. */
  static final RateShare NONE = new RateShare(0, new long[0], 0);

  private final long ownHash;
  private final long[] otherHashes;
  private final int fleetSize;

  private RateShare(long ownHash, long[] otherHashes, int fleetSize) {
    this.ownHash = ownHash;
    this.otherHashes = otherHashes;
    this.fleetSize = fleetSize;
  }

  /**
   * Creates the share of a node.
   *
   * @param ownHost the address of the node
   * @param otherHosts the addresses of the other nodes that may use upstreams
   * @param fleetSize the number of nodes that some node of the fleet knows
   * @return the share
   */
  static RateShare of(String ownHost, Collection<String> otherHosts, int fleetSize) {
    return new RateShare(
        CellLayout.hash(ownHost),
        otherHosts.stream().mapToLong(CellLayout::hash).toArray(),
        Math.max(fleetSize, 1 + otherHosts.size()));
  }

  /**
   * Returns the shortest interval at which the node may send requests to a limited upstream.
   *
   * @param upstream the identifier of the upstream
   * @param bound the limit for all nodes together
   * @return the interval in nanoseconds; {@link UpstreamLimits#NEVER} if other nodes use the
   *     upstream
   */
  public long minIntervalNanos(String upstream, RateBound bound) {
    if (fleetSize == 0) {
      return UpstreamLimits.NEVER;
    }
    long permits = permits(bound);
    long ownPermits = permits / fleetSize + (rank(upstream) < permits % fleetSize ? 1 : 0);
    if (ownPermits == 0) {
      return UpstreamLimits.NEVER;
    }
    double windowSeconds = bound.windowSeconds() + ARRIVAL_JITTER_SECONDS;
    double roundSeconds = Math.max(windowSeconds, permits / bound.perSecond());
    return (long) Math.min(MAX_INTERVAL_NANOS, roundSeconds * NANOS_PER_SECOND / ownPermits);
  }

  private static long permits(RateBound bound) {
    double needed = Math.ceil(bound.perSecond() * (bound.windowSeconds() + ARRIVAL_JITTER_SECONDS));
    long safe = Math.max(1, (long) (bound.maxPerWindow() / MAX_OVERUSE));
    return Math.min(safe, Math.max(MIN_PERMITS, (long) needed));
  }

  private long rank(String upstream) {
    long upstreamHash = CellLayout.hash(upstream);
    long ownRank = mix(ownHash ^ upstreamHash);
    long ahead = 0;
    for (long hash : otherHashes) {
      ahead += mix(hash ^ upstreamHash) < ownRank ? 1 : 0;
    }
    return ahead;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
