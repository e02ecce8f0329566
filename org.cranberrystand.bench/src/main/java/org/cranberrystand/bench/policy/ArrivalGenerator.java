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
 * Generates the requests of a run as Poisson arrivals.
 *
 * <p>Every team, kind and start time has its own random stream, so a flood does not change the
 * other arrivals.
 */
final class ArrivalGenerator {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  /** Arrival whose lengths and content are still to be drawn. */
  private record PlannedArrival(
      long atNanos, TeamSpec team, KindSpec kind, SplittableRandom lengthRandom) {}

  private final Workload workload;
  private final Scenario scenario;
  private final long seed;
  private final List<PlannedArrival> arrivals = new ArrayList<>();

  private ArrivalGenerator(Workload workload, Scenario scenario, long seed) {
    this.workload = workload;
    this.scenario = scenario;
    this.seed = seed;
  }

  /** Returns the requests of a run in the order of arrival. */
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
    double capacityPerSecond =
        workload.capacityRequestsPerSecond(kind) * workload.weightShare(team);
    double baseRatePerSecond =
        capacityPerSecond * kind.loadShare() * scenario.teamLoads().get(team.name());
    addStream(team, kind, baseRatePerSecond, 0, times.end());
    if (kind.isModel() && kind.kind().tier() == scenario.floodTier()) {
      addStream(team, kind, capacityPerSecond * scenario.floodLoad(), times.start(), times.stop());
    }
  }

  private void addStream(
      TeamSpec team, KindSpec kind, double ratePerSecond, int fromSeconds, int toSeconds) {
    if (ratePerSecond <= 0) {
      return;
    }
    long streamSeed =
        mix(mix(seed, team.name().hashCode()), kind.kind().name().hashCode() + fromSeconds);
    SplittableRandom random = new SplittableRandom(streamSeed);
    double atSeconds = fromSeconds;
    while (true) {
      atSeconds -= Math.log(1 - random.nextDouble()) / ratePerSecond;
      if (atSeconds >= toSeconds) {
        return;
      }
      arrivals.add(new PlannedArrival(Times.nanos(atSeconds), team, kind, random.split()));
    }
  }

  private List<SimRequest> build() {
    arrivals.sort(Comparator.comparingLong(PlannedArrival::atNanos));
    List<SimRequest> requests = new ArrayList<>(arrivals.size());
    for (PlannedArrival arrival : arrivals) {
      requests.add(build(arrival, requests.size() + 1L));
    }
    return requests;
  }

  private static SimRequest build(PlannedArrival arrival, long key) {
    KindSpec kind = arrival.kind();
    SplittableRandom random = arrival.lengthRandom();
    String shop = arrival.team().shopName(random.nextInt(arrival.team().shopCount()));
    int promptTokens = kind.prefixTokens() + kind.suffixTokens().sample(random);
    int outputTokens = kind.outputTokens().sample(random);
    long serviceNanos = kind.serviceMillis().sample(random) * NANOS_PER_MILLI;
    long deadlineNanos = arrival.atNanos() + kind.kind().deadlineMillis() * NANOS_PER_MILLI;
    WorkItem item =
        WorkItem.builder(key, kind.kind())
            .shop(shop, arrival.team().name())
            .tokens(promptTokens, kind.outputTokens().max())
            .prefixBlocks(prefixBlockHashes(kind, shop, promptTokens, random.nextLong()))
            .contentDigest("content-" + key)
            .times(arrival.atNanos(), deadlineNanos)
            .build();
    return new SimRequest(item, kind, outputTokens, serviceNanos, false);
  }

  /** Hashes the prompt in blocks; requests of the same kind and shop share the prefix blocks. */
  private static ImmutableLongArray prefixBlockHashes(
      KindSpec kind, String shop, int promptTokens, long requestSeed) {
    ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();
    long hash = mix(shop.hashCode(), kind.kind().name().hashCode());
    for (int i = 0; i < promptTokens / EngineModel.BLOCK_TOKENS; i++) {
      boolean shared = (i + 1) * EngineModel.BLOCK_TOKENS <= kind.prefixTokens();
      hash = mix(hash, shared ? i : requestSeed);
      hashes.add(hash);
    }
    return hashes.build();
  }

  /** Combines two values with the finalizer of SplitMix64. */
  private static long mix(long a, long b) {
    long z = (a ^ (b * GOLDEN_GAMMA)) + GOLDEN_GAMMA;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
