package org.cranberrystand.bench.policy;

import org.cranberrystand.schedule.DispatchPolicy;

/** Creates a new policy for each run. */
@FunctionalInterface
interface PolicyFactory {
  /** Creates a policy for a simulation. */
  DispatchPolicy create(Simulation simulation);
}
