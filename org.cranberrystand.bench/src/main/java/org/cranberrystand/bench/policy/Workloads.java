package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.cranberrystand.bench.policy.KindSpec.Range;
import org.cranberrystand.bench.policy.Workload.TeamSpec;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.WorkKind;

/** The workloads of the benchmark. */
final class Workloads {
  private static final ImmutableList<TeamSpec> TEAMS =
      ImmutableList.of(
          new TeamSpec("large-a", 2, 16),
          new TeamSpec("large-b", 2, 16),
          new TeamSpec("small-a", 1, 6),
          new TeamSpec("small-b", 1, 6),
          new TeamSpec("small-c", 1, 6));

  private Workloads() {}

  static ImmutableList<Workload> all() {
    return ImmutableList.of(taquari(), gendang());
  }

  /** Returns the workload of an association of walking-cane workshops, with all three tiers. */
  static Workload taquari() {
    ImmutableList<KindSpec> kinds =
        ImmutableList.of(
            new KindSpec(
                model("counter-question", Tier.URGENT, 2_500, 60).cancelOnDisconnect(true).build(),
                0.5,
                768,
                new Range(30, 400),
                new Range(16, 160),
                Range.NONE,
                false),
            new KindSpec(
                model("tag-summary", Tier.STANDARD, 20_000, 20).build(),
                0.3,
                256,
                new Range(80, 600),
                new Range(8, 40),
                Range.NONE,
                false),
            new KindSpec(
                model("consultation", Tier.DEFERRABLE, 180_000, 400).build(),
                0.2,
                1_536,
                new Range(2_500, 14_000),
                new Range(150, 900),
                Range.NONE,
                true),
            new KindSpec(
                service("order", false).build(),
                0.4,
                0,
                Range.NONE,
                Range.NONE,
                new Range(40, 160),
                false));
    return new Workload("taquari", kinds, TEAMS, shares(0.7, 0.2, 0.1), 6, 6, 4, 4);
  }

  /** Returns the workload of an association of drum makers and tanneries. */
  static Workload gendang() {
    ImmutableList<KindSpec> kinds =
        ImmutableList.of(
            new KindSpec(
                model("quick-order-answer", Tier.URGENT, 2_500, 40)
                    .cancelOnDisconnect(true)
                    .build(),
                0.6,
                640,
                new Range(30, 300),
                new Range(12, 120),
                Range.NONE,
                false),
            new KindSpec(
                model("hide-assessment", Tier.DEFERRABLE, 240_000, 480).build(),
                0.4,
                1_280,
                new Range(3_000, 16_000),
                new Range(200, 1_000),
                Range.NONE,
                true),
            new KindSpec(
                service("reservation", false).build(),
                0.15,
                0,
                Range.NONE,
                Range.NONE,
                new Range(40, 160),
                false),
            new KindSpec(
                service("stock-check", true).maxRetries(2).build(),
                0.25,
                0,
                Range.NONE,
                Range.NONE,
                new Range(20, 80),
                false));
    return new Workload("gendang", kinds, TEAMS, shares(0.6, 0.2, 0.2), 5, 3, 3, 3);
  }

  private static WorkKind.Builder model(
      String name, Tier tier, long deadlineMillis, int expectedOutputTokens) {
    return WorkKind.builder(name)
        .tier(tier)
        .pool(Workload.MODEL_POOL)
        .repeatable(true)
        .deadlineMillis(deadlineMillis)
        .expectedOutputTokens(expectedOutputTokens);
  }

  private static WorkKind.Builder service(String name, boolean repeatable) {
    return WorkKind.builder(name)
        .tier(Tier.STANDARD)
        .pool(Workload.SERVICE_POOL)
        .repeatable(repeatable)
        .deadlineMillis(5_000)
        .expectedOutputTokens(0);
  }

  private static ImmutableMap<Tier, Double> shares(
      double urgent, double standard, double deferrable) {
    return ImmutableMap.of(
        Tier.URGENT, urgent, Tier.STANDARD, standard, Tier.DEFERRABLE, deferrable);
  }
}
