package org.cranberrystand.wire.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.cranberrystand.dispatch.CrashRegister;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.ReportScope;
import org.cranberrystand.membership.SharedObservations;
import org.cranberrystand.upstream.DrainTracker;

/**
 * The difference of a report from an earlier complete one.
 *
 * @param base the earlier report
 * @param baseAgeNanos the time since the earlier report
 * @param previousOrigins the origins of streams in the report before
 * @param report the report
 */
record ReportChanges(
    PeerReport base,
    long baseAgeNanos,
    ImmutableList<StreamOrigins.Origin> previousOrigins,
    PeerReport report) {
  /** An event that was observed again is sent again only if it is newer by more than this. */
  private static final long MAX_AGE_ERROR_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Returns whether the difference can be encoded; otherwise a complete report is needed. */
  boolean areEncodable() {
    boolean hasAllTeams =
        report.load().usedQuotaUnits().keySet().containsAll(base.load().usedQuotaUnits().keySet());
    boolean poolsRegained =
        report.observations().unreachablePools().isEmpty() && !unreachablePoolsAreSame();
    return listIsKnown() && hasAllTeams && !poolsRegained;
  }

  /**
   * Returns whether the base lists what receivers need. Nodes of a single cell find each other by
   * the reports of the seeds; in a fleet of several cells, nodes list some at random.
   */
  private boolean listIsKnown() {
    if (report.scope() != ReportScope.NODE) {
      return report.listedNodes().equals(base.listedNodes());
    }
    return report.cellCount() > 1 || hosts(base).containsAll(hosts(report));
  }

  private static Set<String> hosts(PeerReport report) {
    return report.listedNodes().stream().map(NodeInfo::host).collect(Collectors.toSet());
  }

  boolean unreachablePoolsAreSame() {
    return report.observations().unreachablePools().equals(base.observations().unreachablePools());
  }

  /** Returns the usage that differs from the base; zero for upstreams that are no longer used. */
  List<Map.Entry<String, UpstreamUsage>> usage() {
    ImmutableMap<String, UpstreamUsage> before = base.load().usage();
    ImmutableMap<String, UpstreamUsage> after = report.load().usage();
    List<Map.Entry<String, UpstreamUsage>> changes = new ArrayList<>();
    before.forEach(
        (upstream, usage) -> {
          UpstreamUsage value = after.getOrDefault(upstream, UpstreamUsage.NONE);
          if (!value.equals(usage)) {
            changes.add(Map.entry(upstream, value));
          }
        });
    after.forEach(
        (upstream, usage) -> {
          if (!before.containsKey(upstream)) {
            changes.add(Map.entry(upstream, usage));
          }
        });
    return changes;
  }

  /** Returns the used quota units that differ from the base. */
  List<Map.Entry<String, Double>> usedQuotaUnits() {
    ImmutableMap<String, Double> before = base.load().usedQuotaUnits();
    return report.load().usedQuotaUnits().entrySet().stream()
        .filter(entry -> !entry.getValue().equals(before.get(entry.getKey())))
        .toList();
  }

  /** Returns the events that neither the base nor the report before contains. */
  SharedObservations newEvents() {
    SharedObservations before = base.observations();
    SharedObservations after = report.observations();
    return SharedObservations.builder()
        .leavingUpstreams(
            newer(
                before.leavingUpstreams(),
                after.leavingUpstreams(),
                DrainTracker.Report::upstream,
                DrainTracker.Report::ageNanos))
        .upstreamLimits(newLimits(before.upstreamLimits(), after.upstreamLimits()))
        .refusalLimits(newLimits(before.refusalLimits(), after.refusalLimits()))
        .crashes(
            newer(
                before.crashes(),
                after.crashes(),
                one -> one.key() + "/" + one.crashes().size() + "/" + (one.answerAgeNanos() < 0),
                ReportChanges::newestAgeNanos))
        .streamOrigins(
            after.streamOrigins().stream()
                .filter(Predicate.not(previousOrigins::contains))
                .collect(ImmutableList.toImmutableList()))
        .survivedCrashes(after.survivedCrashes())
        .soughtStreams(after.soughtStreams())
        .storeSteadySeconds(after.storeSteadySeconds())
        .build();
  }

  private ImmutableList<UpstreamLimits.Report> newLimits(
      ImmutableList<UpstreamLimits.Report> before, ImmutableList<UpstreamLimits.Report> after) {
    return newer(
        before,
        after,
        one -> one.incarnation() + "/" + one.perSecond(),
        UpstreamLimits.Report::ageNanos);
  }

  private static long newestAgeNanos(CrashRegister.Report report) {
    return report.crashes().stream()
        .mapToLong(CrashRegister.Crash::ageNanos)
        .min()
        .orElse(report.answerAgeNanos());
  }

  /** Returns the events with an identity that is not in the base, or that happened again later. */
  private <T> ImmutableList<T> newer(
      ImmutableList<T> before,
      ImmutableList<T> after,
      Function<T, String> identity,
      ToLongFunction<T> ageNanos) {
    if (after.isEmpty()) {
      return ImmutableList.of();
    }
    Map<String, Long> agesBefore = new HashMap<>();
    before.forEach(one -> agesBefore.put(identity.apply(one), ageNanos.applyAsLong(one)));
    return after.stream()
        .filter(
            one -> {
              Long ageBefore = agesBefore.get(identity.apply(one));
              return ageBefore == null
                  || ageBefore + baseAgeNanos - ageNanos.applyAsLong(one) > MAX_AGE_ERROR_NANOS;
            })
        .collect(ImmutableList.toImmutableList());
  }
}
