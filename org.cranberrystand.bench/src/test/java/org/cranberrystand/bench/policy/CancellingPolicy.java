package org.cranberrystand.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;

/** Policy that cancels every deferrable request as soon as its upstream has accepted it. */
final class CancellingPolicy implements DispatchPolicy {
  private final DispatchPolicy delegate;
  private final List<Long> deferrable = new ArrayList<>();

  CancellingPolicy(DispatchPolicy delegate) {
    this.delegate = delegate;
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event) {
    List<SchedulerAction> actions = new ArrayList<>(delegate.handle(event));
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.Dispatch dispatch
          && dispatch.item().tier() == Tier.DEFERRABLE) {
        deferrable.add(dispatch.item().key());
      }
    }
    if (event instanceof SchedulerEvent.Started started && deferrable.remove(started.key())) {
      actions.add(new SchedulerAction.Cancel(started.key()));
    }
    return actions;
  }
}
