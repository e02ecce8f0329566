package org.cranberrystand.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.outcome.NotRunReason;

/**
 * Queued and running requests of a node, and the actions that the current event leads to.
 *
 * <p>Not thread-safe.
 */
final class RequestTable implements PolicyOutput {
  private final Map<Long, RunningRequest> running = new HashMap<>();
  private final Map<Long, QueuedItem> queued = new HashMap<>();
  private final TeamUsage usage = new TeamUsage();
  private final RetryBudget retries = new RetryBudget();
  private final PeerLoads peers = new PeerLoads();
  private final DecisionLog decisions = new DecisionLog();
  private List<SchedulerAction> actions = new ArrayList<>();
  private long nowNanos;

  /** Starts an event; returns the list that will hold its actions. */
  List<SchedulerAction> begin(long atNanos) {
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

  TeamUsage usage() {
    return usage;
  }

  RetryBudget retries() {
    return retries;
  }

  PeerLoads peers() {
    return peers;
  }

  DecisionLog decisions() {
    return decisions;
  }

  void cancel(long key) {
    actions.add(new SchedulerAction.Cancel(key));
  }

  @Override
  public void dispatch(RunningRequest request, EnginePool.Choice choice, String detail) {
    WorkItem item = request.item();
    queued.remove(item.key());
    running.put(item.key(), request);
    retries.dispatched(item.tier());
    usage.served(item.team(), request.queued().cost(), nowNanos);
    decisions.dispatched(request.queued(), choice, detail, nowNanos);
    actions.add(new SchedulerAction.Dispatch(item, request.engine().upstream()));
  }

  @Override
  public void reject(QueuedItem entry, NotRunReason reason, long retryAfterMillis, String detail) {
    queued.remove(entry.item().key());
    decisions.rejected(entry, detail, nowNanos);
    actions.add(new SchedulerAction.Reject(entry.item(), reason, retryAfterMillis));
  }

  @Override
  public boolean handOver(QueuedItem entry) {
    Optional<String> node = peers.takeRoom(entry.cost());
    if (node.isEmpty()) {
      return false;
    }
    queued.remove(entry.item().key());
    decisions.handedOver(entry, node.get(), nowNanos);
    actions.add(new SchedulerAction.HandOver(entry.item(), node.get()));
    return true;
  }
}
