package org.cranberrystand.schedule;

import java.util.List;

/**
 * State machine that decides on the admission, queueing and dispatch of requests on one node.
 *
 * <p>Implementations are not thread-safe. The caller passes in one event at a time and executes the
 * returned actions.
 */
public interface DispatchPolicy {

  /**
   * Processes one event and returns the resulting actions.
   *
   * @param event what happened
   * @return the actions to execute, in order; possibly empty
   */
  List<SchedulerAction> handle(SchedulerEvent event);
}
