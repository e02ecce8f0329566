package org.cranberrystand.daemon.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.util.SerialExecutor;

/**
 * Feeds events to the dispatch policy one at a time and delivers the resulting actions.
 *
 * <p>Safe for use by several threads. Callbacks run on the thread that feeds the event that caused
 * the action, and must not block.
 */
public final class SchedulerLoop {
  private final DispatchPolicy policy;
  private final SerialExecutor executor;
  private final EventLog log;
  private final AtomicLong nextKey = new AtomicLong();
  private final Map<Long, Consumer<Decision>> decisionCallbacks = new HashMap<>();
  private final Map<Long, Runnable> cancelCallbacks = new HashMap<>();

  /**
   * Creates a loop.
   *
   * @param policy the policy; must not be used by others afterwards
   * @param log receives failures of the policy
   */
  public SchedulerLoop(DispatchPolicy policy, EventLog log) {
    this.policy = policy;
    this.log = log;
    this.executor =
        new SerialExecutor(cause -> log.write(LogEvent.TASK_FAILED, "task=scheduler", cause));
  }

  /**
   * Returns a key for a new request.
   *
   * @return a number that is unique on the node
   */
  public long nextKey() {
    return nextKey.incrementAndGet();
  }

  /**
   * Submits a request.
   *
   * @param item the request
   * @param atNanos the time of arrival
   * @param onDecision called for each decision about the request; another decision may follow if
   *     the upstream refuses the request
   * @param onCancel called when the policy cancels the running request
   */
  public void submit(
      WorkItem item, long atNanos, Consumer<Decision> onDecision, Runnable onCancel) {
    executor.execute(
        () -> {
          decisionCallbacks.put(item.key(), onDecision);
          cancelCallbacks.put(item.key(), onCancel);
          applyActions(policy.handle(new SchedulerEvent.Submitted(item, atNanos)));
        });
  }

  /**
   * Feeds an event that concerns no request or after which the request stays submitted.
   *
   * @param event the event
   */
  public void feed(SchedulerEvent event) {
    executor.execute(() -> applyActions(policy.handle(event)));
  }

  /**
   * Runs an action while the policy handles no event.
   *
   * @param action reads the state of the policy; must not block
   */
  public void inspect(Runnable action) {
    executor.execute(action);
  }

  /**
   * Feeds the last event of a request and removes the callbacks of the request.
   *
   * @param key the key of the request
   * @param event the event
   */
  public void end(long key, SchedulerEvent event) {
    executor.execute(
        () -> {
          removeCallbacks(key);
          applyActions(policy.handle(event));
        });
  }

  private void removeCallbacks(long key) {
    decisionCallbacks.remove(key);
    cancelCallbacks.remove(key);
  }

  private void applyActions(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      applyAction(action);
    }
  }

  private void applyAction(SchedulerAction action) {
    if (action instanceof SchedulerAction.Dispatch dispatch) {
      long key = dispatch.item().key();
      deliverDecision(key, new Decision.Dispatch(key, dispatch.upstream()));
    } else if (action instanceof SchedulerAction.Reject reject) {
      deliverDecision(
          reject.item().key(), new Decision.Reject(reject.reason(), reject.retryAfterMillis()));
      removeCallbacks(reject.item().key());
    } else if (action instanceof SchedulerAction.HandOver handOver) {
      deliverDecision(handOver.item().key(), new Decision.HandOver(handOver.node()));
      removeCallbacks(handOver.item().key());
    } else if (action instanceof SchedulerAction.Cancel cancel) {
      Runnable onCancel = cancelCallbacks.get(cancel.key());
      if (onCancel != null) {
        onCancel.run();
      }
    }
  }

  private void deliverDecision(long key, Decision decision) {
    Consumer<Decision> onDecision = decisionCallbacks.get(key);
    if (onDecision == null) {
      log.write(LogEvent.TASK_FAILED, "task=scheduler decision for unknown request " + key);
      return;
    }
    onDecision.accept(decision);
  }
}
