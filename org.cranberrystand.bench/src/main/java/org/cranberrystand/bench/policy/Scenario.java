package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.cranberrystand.bench.policy.Workload.TeamSpec;
import org.cranberrystand.bundle.Tier;

/**
 * Load of one run.
 *
 * @param name the name in reports
 * @param teamLoads load of each team as a multiple of the share of capacity its weight stands for
 * @param onlyTier the only tier that sends model requests, or null for all
 * @param flood the tier that floods, or null for none
 * @param floodLoad load of the flood as a multiple of the capacity of all engines
 * @param disturbance what happens to upstreams or peers at the start of the flood window
 * @param times the times of the run
 */
record Scenario(
    String name,
    ImmutableMap<String, Double> teamLoads,
    Tier onlyTier,
    Tier flood,
    double floodLoad,
    Disturbance disturbance,
    Times times) {

  /** Planned load as a share of capacity. */
  static final double PLANNED_LOAD = 0.7;

  private static final double LOW_FLOOD_LOAD = 5;
  private static final double URGENT_FLOOD_LOAD = 3;

  /** Load at which each tier of each workload offers at least 3 times its guaranteed share. */
  private static final double BACKLOG_LOAD = 3;

  private static final double SMALL_TEAM_LOAD = 0.4;
  private static final double LARGE_TEAM_LOAD = 20;

  /** Event other than arrivals. */
  enum Disturbance {
    NONE,
    /** One engine becomes ten times slower. */
    SLOW_ENGINE,
    /** Seven other nodes send the same load, and one of them is lost. */
    PEER_LOST
  }

  /**
   * Times of a run in seconds.
   *
   * @param warm the start of all measurements
   * @param start the start of the flood or disturbance
   * @param stop the end of the flood or disturbance
   * @param end the end of arrivals
   */
  record Times(int warm, int start, int stop, int end) {
    /** Times of the full benchmark. */
    static final Times FULL = new Times(10, 20, 60, 90);

    /** Times of the benchmark that runs as a test. */
    static final Times COMPACT = new Times(5, 8, 18, 34);

    /** Returns the times of a run that ends with the flood or disturbance. */
    Times withoutTail() {
      return new Times(warm, start, stop, stop);
    }

    static long nanos(double seconds) {
      return (long) (seconds * Duration.ofSeconds(1).toNanos());
    }
  }

  static Scenario planned(Workload workload, Times times) {
    return even("planned", workload, PLANNED_LOAD, times, Disturbance.NONE);
  }

  static Scenario lowFlood(Workload workload, Times times) {
    return flood("low-flood", workload, Tier.DEFERRABLE, LOW_FLOOD_LOAD, times);
  }

  static Scenario urgentFlood(Workload workload, Times times) {
    double others = PLANNED_LOAD * workload.modelKind(Tier.URGENT).loadShare();
    return flood("urgent-flood", workload, Tier.URGENT, URGENT_FLOOD_LOAD - others, times);
  }

  /** Returns an urgent flood in which every other tier offers more than its guaranteed share. */
  static Scenario lastingUrgentFlood(Workload workload, Times times) {
    double urgent = BACKLOG_LOAD * workload.modelKind(Tier.URGENT).loadShare();
    Scenario even =
        even("lasting-flood", workload, BACKLOG_LOAD, times.withoutTail(), Disturbance.NONE);
    double flood = URGENT_FLOOD_LOAD - urgent;
    return new Scenario(
        even.name(), even.teamLoads(), null, Tier.URGENT, flood, Disturbance.NONE, even.times());
  }

  static Scenario slowEngine(Workload workload, Times times) {
    return even(
        "slow-engine", workload, PLANNED_LOAD, times.withoutTail(), Disturbance.SLOW_ENGINE);
  }

  static Scenario smallAlone(Workload workload, Times times) {
    return teams("small-alone", workload, 0, times.withoutTail());
  }

  static Scenario smallBesideLarge(Workload workload, Times times) {
    return teams("small-beside-large", workload, LARGE_TEAM_LOAD, times.withoutTail());
  }

  /** Returns a load at which every team is backlogged, each by another multiple of its share. */
  static Scenario backlogged(Workload workload, Times times) {
    ImmutableMap.Builder<String, Double> loads = ImmutableMap.builder();
    double load = BACKLOG_LOAD;
    for (TeamSpec team : workload.teams()) {
      loads.put(team.name(), load);
      load += 2;
    }
    return new Scenario(
        "backlogged", loads.buildOrThrow(), null, null, 0, Disturbance.NONE, times.withoutTail());
  }

  /**
   * Returns a lasting overload with short requests only, so that what an engine has admitted
   * follows its window and not the size of single requests.
   */
  static Scenario urgentOnly(Workload workload, Times times, Disturbance disturbance) {
    double load = URGENT_FLOOD_LOAD / workload.modelKind(Tier.URGENT).loadShare();
    String name = disturbance == Disturbance.NONE ? "urgent-only" : "urgent-only-peer-lost";
    Scenario even = even(name, workload, load, times.withoutTail(), disturbance);
    return new Scenario(name, even.teamLoads(), Tier.URGENT, null, 0, disturbance, even.times());
  }

  private static Scenario teams(String name, Workload workload, double largeLoad, Times times) {
    ImmutableMap.Builder<String, Double> loads = ImmutableMap.builder();
    for (TeamSpec team : workload.teams()) {
      loads.put(team.name(), team.isLarge() ? largeLoad : SMALL_TEAM_LOAD);
    }
    return new Scenario(name, loads.buildOrThrow(), null, null, 0, Disturbance.NONE, times);
  }

  private static Scenario flood(
      String name, Workload workload, Tier tier, double load, Times times) {
    Scenario base = even(name, workload, PLANNED_LOAD, times, Disturbance.NONE);
    return new Scenario(name, base.teamLoads(), null, tier, load, Disturbance.NONE, times);
  }

  private static Scenario even(
      String name, Workload workload, double load, Times times, Disturbance disturbance) {
    ImmutableMap.Builder<String, Double> loads = ImmutableMap.builder();
    for (TeamSpec team : workload.teams()) {
      loads.put(team.name(), load);
    }
    return new Scenario(name, loads.buildOrThrow(), null, null, 0, disturbance, times);
  }
}
