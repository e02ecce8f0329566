package org.cranberrystand.schedule;

import java.util.List;

/**
 * State machine that decides about admission, queueing and dispatch on one node.
 *
 * <p>Implementations are not thread-safe. The caller serialises events and carries out the actions.
 */
public interface DispatchPolicy {

  /**
   * Processes one event.
   *
   * @param event what happened
   * @return what to do now, in order; empty for nothing
   */
  List<SchedulerAction> handle(SchedulerEvent event);
}
