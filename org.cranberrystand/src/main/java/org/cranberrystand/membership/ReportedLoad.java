package org.cranberrystand.membership;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.dispatch.UpstreamUsage;

/**
 * What one or more nodes use. Immutable.
 *
 * @param usage what their requests use now, by upstream
 * @param quotaUnits what their requests took of the quotas since the start of the sender, by team
 * @param quotaBalances what teams may still use as far as the sender knows, by team
 * @param crashes fingerprints of requests during which an upstream crashed, with the count
 */
public record ReportedLoad(
    ImmutableMap<String, UpstreamUsage> usage,
    ImmutableMap<String, Double> quotaUnits,
    ImmutableMap<String, Double> quotaBalances,
    ImmutableMap<Long, Integer> crashes) {

  /** No load. */
  public static final ReportedLoad NONE =
      new ReportedLoad(ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());

  /** Adds up the usage and the crashes of several loads. Not thread-safe. */
  static final class Sum {
    private final Map<String, UpstreamUsage> usage = new HashMap<>();
    private final Map<Long, Integer> crashes = new HashMap<>();

    void addUsage(ReportedLoad load) {
      load.usage().forEach((id, use) -> usage.merge(id, use, UpstreamUsage::plus));
    }

    void addCrashes(ReportedLoad load) {
      load.crashes().forEach((print, count) -> crashes.merge(print, count, Integer::sum));
    }

    ImmutableMap<String, UpstreamUsage> usage() {
      return ImmutableMap.copyOf(usage);
    }

    ImmutableMap<Long, Integer> crashes() {
      return ImmutableMap.copyOf(crashes);
    }
  }
}
