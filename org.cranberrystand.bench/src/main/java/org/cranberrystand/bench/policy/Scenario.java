package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.cranberrystand.bench.policy.Workload.TeamSpec;
import org.cranberrystand.bundle.Tier;

/**
 * Load and disturbance of one run.
 *
 * @param name the name in reports
 * @param teamLoads the load of each team as a multiple of its weighted share of capacity
 * @param onlyTier the only tier that sends model requests, or null for all
 * @param floodTier the tier of the flood, or null for none
 * @param floodLoad the load of the flood as a multiple of the capacity of all engines
 * @param disturbance the event that starts at the same time as a flood
 * @param times the times of the run
 */
record Scenario(
    String name,
    ImmutableMap<String, Double> teamLoads,
    Tier onlyTier,
    Tier floodTier,
    double floodLoad,
    Disturbance disturbance,
    Times times) {

  /** Planned load as a fraction of capacity. */
  static final double PLANNED_LOAD = 0.7;

  private static final double LOW_FLOOD_LOAD = 5;
  private static final double URGENT_FLOOD_LOAD = 3;

  /** Load at which each tier of each workload offers at least 3 times its guaranteed share. */
  private static final double BACKLOG_LOAD = 3;

  private static final double SMALL_TEAM_LOAD = 0.4;
  private static final double LARGE_TEAM_LOAD = 20;

  /** Fault of an engine or a node during a run. */
  enum Disturbance {
    NONE,
    /** One engine becomes ten times slower. */
    SLOW_ENGINE,
    /** Seven other nodes send the same load, and one of them fails. */
    PEER_LOST
  }

  /**
   * Times of a run in seconds.
   *
   * @param warm the end of the warm-up, where measurements start
   * @param start the start of the flood or disturbance
   * @param stop the end of the flood or disturbance
   * @param end the end of arrivals
   */
  record Times(int warm, int start, int stop, int end) {
    /** Times of the full benchmark. */
    static final Times FULL = new Times(10, 20, 60, 90);

    /** Times of the benchmark that runs as a test. */
    static final Times COMPACT = new Times(5, 8, 18, 34);

    /** Returns the same times with arrivals that end together with the flood or disturbance. */
    Times endingAtStop() {
      return new Times(warm, start, stop, stop);
    }

    static long nanos(double seconds) {
      return (long) (seconds * Duration.ofSeconds(1).toNanos());
    }
  }

  static Scenario planned(Workload workload, Times times) {
    return withEqualTeamLoads("planned", workload, PLANNED_LOAD, times, Disturbance.NONE);
  }

  static Scenario lowFlood(Workload workload, Times times) {
    return withFlood("low-flood", workload, Tier.DEFERRABLE, LOW_FLOOD_LOAD, times);
  }

  static Scenario urgentFlood(Workload workload, Times times) {
    double plannedUrgentLoad = PLANNED_LOAD * workload.modelKind(Tier.URGENT).loadShare();
    return withFlood(
        "urgent-flood", workload, Tier.URGENT, URGENT_FLOOD_LOAD - plannedUrgentLoad, times);
  }

  /** Returns an urgent flood while every other tier offers more than its guaranteed share. */
  static Scenario lastingUrgentFlood(Workload workload, Times times) {
    double urgentLoad = BACKLOG_LOAD * workload.modelKind(Tier.URGENT).loadShare();
    Scenario base =
        withEqualTeamLoads(
            "lasting-flood", workload, BACKLOG_LOAD, times.endingAtStop(), Disturbance.NONE);
    double floodLoad = URGENT_FLOOD_LOAD - urgentLoad;
    return new Scenario(
        base.name(),
        base.teamLoads(),
        null,
        Tier.URGENT,
        floodLoad,
        Disturbance.NONE,
        base.times());
  }

  static Scenario slowEngine(Workload workload, Times times) {
    return withEqualTeamLoads(
        "slow-engine", workload, PLANNED_LOAD, times.endingAtStop(), Disturbance.SLOW_ENGINE);
  }

  static Scenario smallAlone(Workload workload, Times times) {
    return withSmallTeams("small-alone", workload, 0, times.endingAtStop());
  }

  static Scenario smallBesideLarge(Workload workload, Times times) {
    return withSmallTeams("small-beside-large", workload, LARGE_TEAM_LOAD, times.endingAtStop());
  }

  /** Returns a load at which every team is backlogged, each with a different load. */
  static Scenario backlogged(Workload workload, Times times) {
    ImmutableMap.Builder<String, Double> loads = ImmutableMap.builder();
    double load = BACKLOG_LOAD;
    for (TeamSpec team : workload.teams()) {
      loads.put(team.name(), load);
      load += 2;
    }
    return new Scenario(
        "backlogged", loads.buildOrThrow(), null, null, 0, Disturbance.NONE, times.endingAtStop());
  }

  /**
   * Returns a lasting overload with urgent requests only.
   *
   * <p>Urgent requests are short, so the admitted tokens of an engine depend on its window and not
   * on the size of single requests.
   */
  static Scenario urgentOnly(Workload workload, Times times, Disturbance disturbance) {
    double load = URGENT_FLOOD_LOAD / workload.modelKind(Tier.URGENT).loadShare();
    String name = disturbance == Disturbance.NONE ? "urgent-only" : "urgent-only-peer-lost";
    Scenario base = withEqualTeamLoads(name, workload, load, times.endingAtStop(), disturbance);
    return new Scenario(name, base.teamLoads(), Tier.URGENT, null, 0, disturbance, base.times());
  }

  private static Scenario withSmallTeams(
      String name, Workload workload, double largeLoad, Times times) {
    ImmutableMap.Builder<String, Double> loads = ImmutableMap.builder();
    for (TeamSpec team : workload.teams()) {
      loads.put(team.name(), team.isLarge() ? largeLoad : SMALL_TEAM_LOAD);
    }
    return new Scenario(name, loads.buildOrThrow(), null, null, 0, Disturbance.NONE, times);
  }

  private static Scenario withFlood(
      String name, Workload workload, Tier tier, double load, Times times) {
    Scenario base = withEqualTeamLoads(name, workload, PLANNED_LOAD, times, Disturbance.NONE);
    return new Scenario(name, base.teamLoads(), null, tier, load, Disturbance.NONE, times);
  }

  private static Scenario withEqualTeamLoads(
      String name, Workload workload, double load, Times times, Disturbance disturbance) {
    ImmutableMap.Builder<String, Double> loads = ImmutableMap.builder();
    for (TeamSpec team : workload.teams()) {
      loads.put(team.name(), load);
    }
    return new Scenario(name, loads.buildOrThrow(), null, null, 0, disturbance, times);
  }
}
