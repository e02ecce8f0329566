package org.cranberrystand.bench.policy;

import org.cranberrystand.schedule.DispatchPolicy;

/** Creates a fresh policy for one run. */
@FunctionalInterface
interface PolicyFactory {
  /** Creates a policy that takes time from the clock of the simulation. */
  DispatchPolicy create(Simulation simulation);
}
