package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.ImmutableLongArray;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamDirectory;

/** An input of the scheduler. Times are on the node's monotonic clock, in nanoseconds. */
public sealed interface SchedulerEvent {

  /**
   * Returns when the event happened.
   *
   * @return the time in nanoseconds
   */
  long atNanos();

  /**
   * A request arrived.
   *
   * @param item the request
   * @param atNanos when it arrived
   */
  record Submitted(WorkItem item, long atNanos) implements SchedulerEvent {}

  /**
   * The upstream accepted a dispatched request.
   *
   * @param key the key of the request
   * @param atNanos when the response head arrived
   */
  record Started(long key, long atNanos) implements SchedulerEvent {}

  /**
   * Output of a running request arrived.
   *
   * @param key the key of the request
   * @param tokens the number of new tokens; the first event of a request marks the first token
   * @param atNanos when it arrived
   */
  record TokensProduced(long key, int tokens, long atNanos) implements SchedulerEvent {}

  /**
   * A running request ended.
   *
   * @param key the key of the request
   * @param succeeded whether the answer was complete
   * @param atNanos when it ended
   */
  record Finished(long key, boolean succeeded, long atNanos) implements SchedulerEvent {}

  /**
   * A dispatched request was not run: the upstream was unreachable or refused it.
   *
   * @param key the key of the request
   * @param connected true if the upstream refused, false if it was unreachable
   * @param retryAfterMillis the retry delay the upstream asked for in milliseconds, or 0
   * @param atNanos when it was seen
   */
  record Refused(long key, boolean connected, long retryAfterMillis, long atNanos)
      implements SchedulerEvent {}

  /**
   * The connection of a running request broke in a way that suggests a crash of the upstream.
   *
   * <p>The request has ended.
   *
   * @param key the key of the request
   * @param atNanos when it was seen
   */
  record ConnectionBroken(long key, long atNanos) implements SchedulerEvent {}

  /**
   * The caller cancelled the request or disconnected.
   *
   * @param key the key of the request
   * @param atNanos when it was seen
   */
  record CallerGone(long key, long atNanos) implements SchedulerEvent {}

  /**
   * An upstream reported its load.
   *
   * @param upstream the name of the upstream
   * @param report the reported load
   * @param atNanos when the report arrived
   */
  record LoadReported(String upstream, LoadReport report, long atNanos) implements SchedulerEvent {}

  /**
   * An upstream reported changes of its prefix cache.
   *
   * @param upstream the name of the upstream
   * @param stored hashes of blocks that were stored
   * @param evicted hashes of blocks that were evicted
   * @param gap whether earlier cache events were lost
   * @param atNanos when the events arrived
   */
  record CacheReported(
      String upstream,
      ImmutableLongArray stored,
      ImmutableLongArray evicted,
      boolean gap,
      long atNanos)
      implements SchedulerEvent {}

  /**
   * The set of upstreams changed.
   *
   * @param directory all current upstreams
   * @param atNanos when it changed
   */
  record DirectoryChanged(UpstreamDirectory directory, long atNanos) implements SchedulerEvent {}

  /**
   * A new bundle came into force.
   *
   * @param bundle the bundle
   * @param atNanos when the bundle came into force
   */
  record BundleChanged(Bundle bundle, long atNanos) implements SchedulerEvent {}

  /**
   * The live nodes or their reported loads changed.
   *
   * @param self the name of this node
   * @param peers the loads of the other live nodes
   * @param atNanos when it changed
   */
  record PeersChanged(String self, ImmutableList<PeerLoad> peers, long atNanos)
      implements SchedulerEvent {}

  /**
   * Another node reported suspect or quarantined contents.
   *
   * @param quarantinedUntilNanos the end of the quarantine by content digest
   * @param suspects the digests of suspect contents
   * @param atNanos when the report arrived
   */
  record ContentReported(
      ImmutableMap<String, Long> quarantinedUntilNanos,
      ImmutableList<String> suspects,
      long atNanos)
      implements SchedulerEvent {}

  /**
   * The node starts to drain: it rejects new requests, and rejects or hands over queued ones.
   *
   * @param atNanos when the drain was requested
   */
  record DrainStarted(long atNanos) implements SchedulerEvent {}

  /**
   * Triggers periodic work.
   *
   * @param atNanos the current time
   */
  record Tick(long atNanos) implements SchedulerEvent {}

  /**
   * Load of a node as gossiped to its peers.
   *
   * @param node the name of the node
   * @param backlogTokens cost of queued work by tier, in tokens
   * @param roomTokens cost of urgent work the node can take now, in tokens
   * @param teamTokensPerSecond recent service of the teams with the most service
   * @param demandTokensPerSecond recent service of all teams together
   */
  record PeerLoad(
      String node,
      ImmutableMap<Tier, Long> backlogTokens,
      long roomTokens,
      ImmutableMap<String, Long> teamTokensPerSecond,
      long demandTokensPerSecond) {

    /**
     * Creates the load of a node that does not report its total service.
     *
     * <p>The sum over the reported teams is used as the total.
     *
     * @param node the name of the node
     * @param backlogTokens cost of queued work by tier, in tokens
     * @param roomTokens cost of urgent work the node can take now, in tokens
     * @param teamTokensPerSecond recent service of the teams with the most service
     */
    public PeerLoad(
        String node,
        ImmutableMap<Tier, Long> backlogTokens,
        long roomTokens,
        ImmutableMap<String, Long> teamTokensPerSecond) {
      this(
          node,
          backlogTokens,
          roomTokens,
          teamTokensPerSecond,
          teamTokensPerSecond.values().stream().mapToLong(rate -> rate).sum());
    }
  }
}
