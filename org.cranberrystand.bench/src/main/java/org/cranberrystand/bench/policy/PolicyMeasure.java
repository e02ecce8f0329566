package org.cranberrystand.bench.policy;

import java.util.Locale;
import org.cranberrystand.bench.report.Direction;
import org.cranberrystand.bench.report.Measure;

/** Measures of the policy. The bounds are the targets of the design. */
enum PolicyMeasure {
  /** Urgent goodput with the lowest tier at 5 times capacity, over the same without the flood. */
  URGENT_GOODPUT_LOW_FLOOD(0.98, Direction.AT_LEAST),
  /** Urgent requests shed while less urgent work of the pool stayed queued, in all scenarios. */
  URGENT_SHED_WHILE_LOWER_KEPT(0, Direction.AT_MOST),
  /** Urgent goodput at 3 times capacity, over what the engines could finish in time. */
  URGENT_GOODPUT_URGENT_FLOOD(0.90, Direction.AT_LEAST),
  /** Dispatched long work that finishes. */
  LONG_FINISHED(1.0, Direction.AT_LEAST),
  /** Service of the other tiers in a lasting urgent flood, over their guaranteed share. */
  OTHER_WORK_KEPT(0.95, Direction.AT_LEAST),
  /** Goodput of small teams beside two teams at 20 times their share, over alone. */
  SMALL_TEAM_GOODPUT(0.97, Direction.AT_LEAST),
  /** Jain's index of the service of backlogged teams by weight. */
  JAIN_INDEX(0.98, Direction.AT_LEAST),
  /** Prompt tokens computed again, over an all-seeing single router. */
  WASTED_PREFILL(1.15, Direction.AT_MOST),
  /** Prompt tokens computed again, over the least-load baseline. */
  WASTED_PREFILL_VS_LEAST_LOAD(0.5, Direction.AT_MOST),
  /** Time until the share of an engine that became 10 times slower fell below 20% of before. */
  SLOW_ENGINE_SHIFT_S(2, Direction.AT_MOST),
  /** Time after a flood until urgent first tokens are as fast as without it, within 1.2 times. */
  RECOVERY_S(10, Direction.AT_MOST),
  /** Admitted work over the window with views 1 s old and one node lost. */
  ENGINE_OVERCOMMIT(1.25, Direction.AT_MOST),
  /** First-token delay of 95 in 100 requests at the planned load. */
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

  Measure withValue(double value) {
    return new Measure(label(), value, bound, direction);
  }
}
