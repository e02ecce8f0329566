package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import org.cranberrystand.placement.CacheGapPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.schedule.SchedulerFeature;
import org.cranberrystand.schedule.SchedulerOptions;

/**
 * Policy under test.
 *
 * @param name the name in reports
 * @param factory creates a policy for each run
 */
record NamedPolicy(String name, PolicyFactory factory) {

  /** Returns the production scheduler with default options. */
  static NamedPolicy scheduler() {
    return new NamedPolicy("scheduler", simulation -> new Scheduler());
  }

  static ImmutableList<NamedPolicy> baselines() {
    return ImmutableList.of(
        new NamedPolicy("round-robin", simulation -> new RoundRobinPolicy()),
        new NamedPolicy("least-reported-load", simulation -> new LeastReportedLoadPolicy()),
        new NamedPolicy("strict-priority", simulation -> new StrictPriorityPolicy()));
  }

  /** Returns the production scheduler with each feature disabled and with each other gap policy. */
  static ImmutableList<NamedPolicy> ablations() {
    ImmutableList.Builder<NamedPolicy> policies = ImmutableList.builder();
    for (SchedulerFeature feature : SchedulerFeature.values()) {
      SchedulerOptions options = SchedulerOptions.builder().without(feature).build();
      policies.add(named("without-" + label(feature), options));
    }
    for (CacheGapPolicy gaps : CacheGapPolicy.values()) {
      if (gaps != SchedulerOptions.defaults().cacheGapPolicy()) {
        SchedulerOptions options = SchedulerOptions.builder().cacheGapPolicy(gaps).build();
        policies.add(named("cache-gap-" + label(gaps), options));
      }
    }
    return policies.build();
  }

  private static NamedPolicy named(String name, SchedulerOptions options) {
    return new NamedPolicy(name, simulation -> new Scheduler(options));
  }

  private static String label(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
