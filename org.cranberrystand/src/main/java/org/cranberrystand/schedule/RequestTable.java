package org.cranberrystand.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.dispatch.RetryAllowance;
import org.cranberrystand.fairness.TeamUsage;
import org.cranberrystand.outcome.NotRunReason;

/**
 * Queued and running requests of a node, and the actions that result from the current event.
 *
 * <p>Not thread-safe.
 */
final class RequestTable implements DecisionHandler {
  private static final double RETRIES_PER_DISPATCH = 0.1;
  private static final double RETRY_SLACK = 20;

  private final Map<Long, RunningRequest> running = new HashMap<>();
  private final Map<Long, QueuedItem> queued = new HashMap<>();
  private final TeamUsage teamUsage = new TeamUsage();
  private final RetryAllowance<Tier> retries =
      new RetryAllowance<>(RETRIES_PER_DISPATCH, RETRY_SLACK);
  private final PeerLoads peerLoads = new PeerLoads();
  private final DecisionLog decisions = new DecisionLog();
  private List<SchedulerAction> actions = new ArrayList<>();
  private long nowNanos;

  /** Starts the processing of an event; returns the list to which its actions are added. */
  List<SchedulerAction> beginEvent(long atNanos) {
    nowNanos = atNanos;
    actions = new ArrayList<>();
    return actions;
  }

  /** Returns a running request, or null. */
  RunningRequest running(long key) {
    return running.get(key);
  }

  /** Removes and returns a running request, or null. */
  RunningRequest removeRunning(long key) {
    return running.remove(key);
  }

  int runningCount() {
    return running.size();
  }

  /** Returns a queued request, or null. */
  QueuedItem queued(long key) {
    return queued.get(key);
  }

  void addQueued(QueuedItem entry) {
    queued.put(entry.item().key(), entry);
  }

  TeamUsage teamUsage() {
    return teamUsage;
  }

  /** Returns how often refused requests of a tier may be sent again. */
  RetryAllowance<Tier> retries() {
    return retries;
  }

  PeerLoads peerLoads() {
    return peerLoads;
  }

  DecisionLog decisions() {
    return decisions;
  }

  void cancel(long key) {
    actions.add(new SchedulerAction.Cancel(key));
  }

  @Override
  public void dispatch(RunningRequest request, EnginePool.Placement placement, String detail) {
    WorkItem item = request.item();
    queued.remove(item.key());
    running.put(item.key(), request);
    retries.requestReceived(item.tier());
    teamUsage.recordService(item.team(), request.queued().costTokens(), nowNanos);
    decisions.recordDispatch(request.queued(), placement, detail, nowNanos);
    actions.add(new SchedulerAction.Dispatch(item, request.engine().upstream()));
  }

  @Override
  public void reject(QueuedItem entry, NotRunReason reason, long retryAfterMillis, String detail) {
    queued.remove(entry.item().key());
    decisions.recordRejection(entry, detail, nowNanos);
    actions.add(new SchedulerAction.Reject(entry.item(), reason, retryAfterMillis));
  }

  @Override
  public boolean handOver(QueuedItem entry) {
    Optional<String> node = peerLoads.reservePeer(entry.costTokens());
    if (node.isEmpty()) {
      return false;
    }
    queued.remove(entry.item().key());
    decisions.recordHandOver(entry, node.get(), nowNanos);
    actions.add(new SchedulerAction.HandOver(entry.item(), node.get()));
    return true;
  }
}
