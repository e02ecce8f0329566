package org.cranberrystand.membership;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.dispatch.UpstreamUsage;

/**
 * Upstream usage and quota usage of one or more nodes. Immutable.
 *
 * @param usage the current usage of each upstream, by identifier of the upstream
 * @param usedQuotaUnits quota units consumed since the start of the sender, by team
 * @param quotaBalanceUnits remaining quota units as known to the sender, by team
 */
public record ReportedLoad(
    ImmutableMap<String, UpstreamUsage> usage,
    ImmutableMap<String, Double> usedQuotaUnits,
    ImmutableMap<String, Double> quotaBalanceUnits) {

  /** A report without load. */
  public static final ReportedLoad NONE =
      new ReportedLoad(ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());

  /** Sums the usage of several loads. Not thread-safe. */
  static final class Sum {
    private final Map<String, UpstreamUsage> usage = new HashMap<>();

    void addUsage(ReportedLoad load) {
      load.usage().forEach((upstream, used) -> usage.merge(upstream, used, UpstreamUsage::plus));
    }

    ImmutableMap<String, UpstreamUsage> usage() {
      return ImmutableMap.copyOf(usage);
    }
  }
}
