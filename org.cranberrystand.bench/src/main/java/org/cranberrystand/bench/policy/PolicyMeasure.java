package org.cranberrystand.bench.policy;

import java.util.Locale;
import org.cranberrystand.bench.report.Direction;
import org.cranberrystand.bench.report.Measure;

/** Measures of a policy with their bounds, which are the design targets. */
enum PolicyMeasure {
  /** Urgent goodput with the lowest tier at 5 times capacity, relative to the planned load. */
  URGENT_GOODPUT_LOW_FLOOD(0.98, Direction.AT_LEAST),
  /** Urgent requests rejected while less urgent ones of the pool were queued, in all scenarios. */
  URGENT_SHED_WHILE_LOWER_KEPT(0, Direction.AT_MOST),
  /** Urgent goodput at 3 times capacity, relative to the capacity left by the other tiers. */
  URGENT_GOODPUT_URGENT_FLOOD(0.90, Direction.AT_LEAST),
  /** Fraction of dispatched long requests that finish. */
  LONG_FINISHED(1.0, Direction.AT_LEAST),
  /** Lowest ratio of service to guaranteed share among other tiers in a lasting urgent flood. */
  OTHER_WORK_KEPT(0.95, Direction.AT_LEAST),
  /** Goodput of small teams next to two teams at 20 times their share, relative to alone. */
  SMALL_TEAM_GOODPUT(0.97, Direction.AT_LEAST),
  /** Jain's fairness index of the service per weight of backlogged teams. */
  JAIN_INDEX(0.98, Direction.AT_LEAST),
  /** Recomputed prompt tokens, relative to a single router with exact knowledge. */
  WASTED_PREFILL(1.15, Direction.AT_MOST),
  /** Recomputed prompt tokens, relative to the least-reported-load baseline. */
  WASTED_PREFILL_VS_LEAST_LOAD(0.5, Direction.AT_MOST),
  /** Time until an engine that became 10 times slower gets less than 20% of its former share. */
  SLOW_ENGINE_SHIFT_S(2, Direction.AT_MOST),
  /** Time after a flood until the urgent first-token p95 is within 1.2 times the planned one. */
  RECOVERY_S(10, Direction.AT_MOST),
  /** Peak admitted work with reports 1 s old and one of 8 nodes lost, relative to one node. */
  ENGINE_OVERCOMMIT(1.25, Direction.AT_MOST),
  /** Time to first token, 95th percentile, at the planned load. */
  FIRST_TOKEN_P95_S(1.7, Direction.AT_MOST),
  /** Gap between tokens, 95th percentile, at the planned load. */
  TOKEN_GAP_P95_MS(74, Direction.AT_MOST);

  private final double bound;
  private final Direction direction;

  PolicyMeasure(double bound, Direction direction) {
    this.bound = bound;
    this.direction = direction;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  Direction direction() {
    return direction;
  }

  Measure toMeasure(double value) {
    return new Measure(label(), value, bound, direction);
  }
}
