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
 * Feeds events to the dispatch policy one at a time and passes its actions on.
 *
 * <p>Safe for use by several threads. Callbacks run on the thread that feeds the event that led to
 * the action, and must not block.
 */
public final class SchedulerLoop {
  private final DispatchPolicy policy;
  private final SerialExecutor executor;
  private final EventLog log;
  private final AtomicLong nextKey = new AtomicLong();
  private final Map<Long, Consumer<Decision>> waiting = new HashMap<>();
  private final Map<Long, Runnable> cancellations = new HashMap<>();

  /**
   * Creates a loop.
   *
   * @param policy the policy; used by this loop only from now on
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
   * @param onDecision called for each decision about the request; a request that was refused by its
   *     upstream may get another one
   * @param onCancel called when the policy cancels the running request
   */
  public void submit(
      WorkItem item, long atNanos, Consumer<Decision> onDecision, Runnable onCancel) {
    executor.execute(
        () -> {
          waiting.put(item.key(), onDecision);
          cancellations.put(item.key(), onCancel);
          carryOut(policy.handle(new SchedulerEvent.Submitted(item, atNanos)));
        });
  }

  /**
   * Feeds an event that concerns no request or leaves it in place.
   *
   * @param event the event
   */
  public void feed(SchedulerEvent event) {
    executor.execute(() -> carryOut(policy.handle(event)));
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
   * Feeds the last event of a request.
   *
   * @param key the key of the request
   * @param event the event
   */
  public void end(long key, SchedulerEvent event) {
    executor.execute(
        () -> {
          forget(key);
          carryOut(policy.handle(event));
        });
  }

  private void forget(long key) {
    waiting.remove(key);
    cancellations.remove(key);
  }

  private void carryOut(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      carryOut(action);
    }
  }

  private void carryOut(SchedulerAction action) {
    if (action instanceof SchedulerAction.Dispatch dispatch) {
      long key = dispatch.item().key();
      decide(key, new Decision.Dispatch(key, dispatch.upstream()));
    } else if (action instanceof SchedulerAction.Reject reject) {
      decide(reject.item().key(), new Decision.Reject(reject.reason(), reject.retryAfterMillis()));
      forget(reject.item().key());
    } else if (action instanceof SchedulerAction.HandOver handOver) {
      decide(handOver.item().key(), new Decision.HandOver(handOver.node()));
      forget(handOver.item().key());
    } else if (action instanceof SchedulerAction.Cancel cancel) {
      Runnable cancellation = cancellations.get(cancel.key());
      if (cancellation != null) {
        cancellation.run();
      }
    }
  }

  private void decide(long key, Decision decision) {
    Consumer<Decision> consumer = waiting.get(key);
    if (consumer == null) {
      log.write(LogEvent.TASK_FAILED, "task=scheduler decision for unknown request " + key);
      return;
    }
    consumer.accept(decision);
  }
}
