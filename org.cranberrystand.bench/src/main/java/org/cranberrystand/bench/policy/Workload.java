package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.Team;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Simulated deployment: kinds of work, teams, shops and upstreams.
 *
 * @param name the name in reports
 * @param kinds the kinds of work
 * @param teams the teams
 * @param guaranteedShares the guaranteed share of each tier
 * @param fastEngines the number of engines of the newer generation
 * @param slowEngines the number of engines of the older generation
 * @param services the number of plain services
 * @param failureDomains the number of failure domains that the upstreams are spread over
 */
record Workload(
    String name,
    ImmutableList<KindSpec> kinds,
    ImmutableList<TeamSpec> teams,
    ImmutableMap<Tier, Double> guaranteedShares,
    int fastEngines,
    int slowEngines,
    int services,
    int failureDomains) {

  /** Pool of the model engines. */
  static final String MODEL_POOL = "engines";

  /** Pool of the plain services. */
  static final String SERVICE_POOL = "orders";

  private static final double MILLIS_PER_SECOND = 1e3;

  /**
   * Team with a number of shops.
   *
   * @param name the name
   * @param weight the weight in the bundle
   * @param shopCount the number of shops
   */
  record TeamSpec(String name, double weight, int shopCount) {
    boolean isLarge() {
      return weight > 1;
    }

    String shopName(int index) {
      return name + "-shop-" + index;
    }
  }

  double totalWeight() {
    return teams.stream().mapToDouble(TeamSpec::weight).sum();
  }

  /** Returns the weight of a team as a fraction of the total weight. */
  double weightShare(TeamSpec team) {
    return team.weight() / totalWeight();
  }

  /** Returns the throughput of all upstreams in requests per second if they run only one kind. */
  double capacityRequestsPerSecond(KindSpec kind) {
    if (!kind.isModel()) {
      return services * SimService.WORKERS * MILLIS_PER_SECOND / kind.serviceMillis().mean();
    }
    return fastEngines / kind.meanCostSeconds(EngineModel.FAST)
        + slowEngines / kind.meanCostSeconds(EngineModel.SLOW);
  }

  /** Returns the throughput of the engines in tokens per second if they run only one kind. */
  double capacityTokensPerSecond(KindSpec kind) {
    return capacityRequestsPerSecond(kind) * kind.meanCostTokens();
  }

  double guaranteedShare(Tier tier) {
    return guaranteedShares.get(tier);
  }

  ImmutableList<KindSpec> modelKinds() {
    return kinds.stream().filter(KindSpec::isModel).collect(ImmutableList.toImmutableList());
  }

  KindSpec modelKind(Tier tier) {
    return modelKinds().stream().filter(k -> k.kind().tier() == tier).findFirst().orElseThrow();
  }

  Bundle bundle() {
    Bundle.Builder builder = Bundle.builder(1);
    ImmutableSet.Builder<String> kindNames = ImmutableSet.builder();
    for (KindSpec kind : kinds) {
      builder.addKind(kind.kind());
      kindNames.add(kind.kind().name());
    }
    for (TeamSpec team : teams) {
      builder.addTeam(new Team(team.name(), team.weight()));
      for (int i = 0; i < team.shopCount(); i++) {
        builder.addShop(new Shop(team.shopName(i), team.name(), kindNames.build()));
      }
    }
    for (Tier tier : Tier.values()) {
      builder.guaranteedShare(tier, guaranteedShare(tier));
    }
    ImmutableSet<Integer> refusalStatuses = ImmutableSet.of(429, 503);
    return builder
        .addPool(new UpstreamPool(MODEL_POOL, PoolType.MODEL, "assistant", true, refusalStatuses))
        .addPool(new UpstreamPool(SERVICE_POOL, PoolType.SERVICE, "", false, refusalStatuses))
        .build();
  }

  /** Adds the upstreams to a simulation and returns their directory. */
  UpstreamDirectory createUpstreams(Simulation simulation) {
    List<UpstreamRecord> records = new ArrayList<>();
    for (int i = 0; i < fastEngines + slowEngines; i++) {
      boolean fast = i < fastEngines;
      UpstreamRecord record = createRecord((fast ? "fast-" : "slow-") + i, MODEL_POOL, i);
      EngineModel model = fast ? EngineModel.FAST : EngineModel.SLOW;
      simulation.addUpstream(new SimEngine(record, model, simulation));
      records.add(record);
    }
    for (int i = 0; i < services; i++) {
      UpstreamRecord record = createRecord("orders-" + i, SERVICE_POOL, i);
      simulation.addUpstream(new SimService(record, simulation));
      records.add(record);
    }
    return UpstreamDirectory.of(records);
  }

  private UpstreamRecord createRecord(String upstream, String pool, int index) {
    String domain = "fd-" + (1 + index % failureDomains);
    return new UpstreamRecord(upstream, pool, "127.0.0.1:" + (9000 + index), domain, false);
  }
}
