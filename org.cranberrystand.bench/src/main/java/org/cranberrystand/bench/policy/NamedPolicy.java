package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.schedule.Scheduler;

/**
 * Policy to measure.
 *
 * @param name the name in reports
 * @param factory creates it
 */
record NamedPolicy(String name, PolicyFactory factory) {

  /** Returns the policy of the product. */
  static NamedPolicy scheduler() {
    return new NamedPolicy("scheduler", simulation -> new Scheduler());
  }

  static ImmutableList<NamedPolicy> baselines() {
    return ImmutableList.of(
        new NamedPolicy("round-robin", simulation -> new RoundRobinPolicy()),
        new NamedPolicy("least-reported-load", simulation -> new LeastReportedLoadPolicy()),
        new NamedPolicy("strict-priority", simulation -> new StrictPriorityPolicy()));
  }
}
