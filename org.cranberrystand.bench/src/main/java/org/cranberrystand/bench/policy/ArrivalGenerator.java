package org.cranberrystand.bench.policy;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bench.policy.Workload.TeamSpec;
import org.cranberrystand.schedule.WorkItem;

/**
 * Draws the requests of a run.
 *
 * <p>Every team and kind has its own random stream, so a flood leaves the other arrivals unchanged.
 */
final class ArrivalGenerator {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private record Draft(long atNanos, TeamSpec team, KindSpec kind, SplittableRandom lengths) {}

  private final Workload workload;
  private final Scenario scenario;
  private final long seed;
  private final List<Draft> drafts = new ArrayList<>();

  private ArrivalGenerator(Workload workload, Scenario scenario, long seed) {
    this.workload = workload;
    this.scenario = scenario;
    this.seed = seed;
  }

  /** Returns the requests in the order of arrival. */
  static List<SimRequest> generate(Workload workload, Scenario scenario, long seed) {
    ArrivalGenerator generator = new ArrivalGenerator(workload, scenario, seed);
    for (TeamSpec team : workload.teams()) {
      for (KindSpec kind : workload.kinds()) {
        generator.addStreams(team, kind);
      }
    }
    return generator.build();
  }

  private void addStreams(TeamSpec team, KindSpec kind) {
    Times times = scenario.times();
    if (scenario.onlyTier() != null && kind.kind().tier() != scenario.onlyTier()) {
      return;
    }
    double capacity = workload.capacityPerSecond(kind) * workload.shareOf(team);
    double base = capacity * kind.loadShare() * scenario.teamLoads().get(team.name());
    addStream(team, kind, base, 0, times.end());
    if (kind.isModel() && kind.kind().tier() == scenario.flood()) {
      addStream(team, kind, capacity * scenario.floodLoad(), times.start(), times.stop());
    }
  }

  private void addStream(TeamSpec team, KindSpec kind, double rate, int from, int to) {
    if (rate <= 0) {
      return;
    }
    long stream = mix(mix(seed, team.name().hashCode()), kind.kind().name().hashCode() + from);
    SplittableRandom random = new SplittableRandom(stream);
    double at = from;
    while (true) {
      at -= Math.log(1 - random.nextDouble()) / rate;
      if (at >= to) {
        return;
      }
      drafts.add(new Draft(Times.nanos(at), team, kind, random.split()));
    }
  }

  private List<SimRequest> build() {
    drafts.sort(Comparator.comparingLong(Draft::atNanos));
    List<SimRequest> requests = new ArrayList<>(drafts.size());
    for (Draft draft : drafts) {
      requests.add(build(draft, requests.size() + 1L));
    }
    return requests;
  }

  private static SimRequest build(Draft draft, long key) {
    KindSpec kind = draft.kind();
    SplittableRandom random = draft.lengths();
    String shop = draft.team().shop(random.nextInt(draft.team().shops()));
    int prompt = kind.prefixTokens() + kind.suffix().draw(random);
    int output = kind.output().draw(random);
    long service = kind.serviceMillis().draw(random) * NANOS_PER_MILLI;
    long deadline = draft.atNanos() + kind.kind().deadlineMillis() * NANOS_PER_MILLI;
    WorkItem item =
        WorkItem.builder(key, kind.kind())
            .shop(shop, draft.team().name())
            .tokens(prompt, kind.output().max())
            .prefixBlocks(blocks(kind, shop, prompt, random.nextLong()))
            .contentDigest("content-" + key)
            .times(draft.atNanos(), deadline)
            .build();
    return new SimRequest(item, kind, output, service, false);
  }

  private static ImmutableLongArray blocks(KindSpec kind, String shop, int prompt, long unique) {
    ImmutableLongArray.Builder blocks = ImmutableLongArray.builder();
    long hash = mix(shop.hashCode(), kind.kind().name().hashCode());
    for (int i = 0; i < prompt / EngineModel.BLOCK_TOKENS; i++) {
      boolean shared = (i + 1) * EngineModel.BLOCK_TOKENS <= kind.prefixTokens();
      hash = mix(hash, shared ? i : unique);
      blocks.add(hash);
    }
    return blocks.build();
  }

  private static long mix(long a, long b) {
    long z = (a ^ (b * GOLDEN_GAMMA)) + GOLDEN_GAMMA;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
