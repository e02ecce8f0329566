package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cranberrystand.util.MonotonicClock;

/**
 * Combines the signals that an upstream is leaving.
 *
 * <p>One signal is sufficient. Every signal except the VM list expires unless it is repeated, so
 * that a wrong report has no lasting effect. Signals are passed on to other nodes with the age of
 * the original observation, so a report circulates no longer than its lifetime. Not thread-safe.
 */
public final class DrainTracker {

  /** The source of a signal. */
  public enum Source {
    /** The VM list; active until the list no longer contains the upstream as leaving. */
    VM_LIST(Long.MAX_VALUE),
    /** The upstream's own load report; repeated with each report. */
    LOAD_REPORT(10_000_000_000L),
    /** A refusal by the upstream, which may apply to a single request only. */
    REFUSAL(3_000_000_000L),
    /** The upstream's announcement that it is leaving, which holds for its incarnation. */
    ANNOUNCEMENT(600_000_000_000L),
    /** A digest of another node. */
    PEER(10_000_000_000L);

    private final long lifetimeNanos;

    Source(long lifetimeNanos) {
      this.lifetimeNanos = lifetimeNanos;
    }

    boolean isActive(long ageNanos) {
      return ageNanos < lifetimeNanos;
    }
  }

  /**
   * A signal as passed on to other nodes in digests.
   *
   * @param upstream the name of the upstream
   * @param ageNanos the time since the observation, in nanoseconds
   */
  public record Report(String upstream, long ageNanos) {}

  private static final int MAX_UPSTREAMS = 4_096;

  private final MonotonicClock clock;
  private final Map<String, EnumMap<Source, Long>> observedAtNanos = new HashMap<>();
  private final Map<String, Long> notLeavingAtNanos = new HashMap<>();

  /**
   * Creates a tracker without signals.
   *
   * @param clock the clock of the node
   */
  public DrainTracker(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Replaces the set of upstreams that the VM list marks as leaving.
   *
   * @param leaving the names of all upstreams that are listed as leaving
   * @return true if at least one upstream counts as leaving now and did not before
   */
  public boolean vmListUpdated(Collection<String> leaving) {
    Set<String> names = ImmutableSet.copyOf(leaving);
    observedAtNanos.forEach(
        (name, signals) -> {
          if (!names.contains(name)) {
            signals.remove(Source.VM_LIST);
          }
        });
    boolean changed = false;
    for (String name : names) {
      changed |= observe(name, Source.VM_LIST, clock.nowNanos());
    }
    return changed;
  }

  /**
   * Processes a load report of the upstream itself.
   *
   * <p>A report that the upstream is not leaving removes all older signals except the VM list, as
   * the upstream is the most reliable source. Reports arrive with a delay, so signals that are
   * newer than the report's figures remain.
   *
   * @param upstream the name of the upstream
   * @param draining whether the report says that the upstream is leaving
   * @param reportedAtNanos the time of the report's figures, on the clock of this node
   * @return true if the upstream counts as leaving now and did not before
   */
  public boolean loadReported(String upstream, boolean draining, long reportedAtNanos) {
    if (draining) {
      return observe(upstream, Source.LOAD_REPORT, clock.nowNanos());
    }
    EnumMap<Source, Long> signals = observedAtNanos.get(upstream);
    if (signals != null) {
      signals
          .entrySet()
          .removeIf(e -> e.getKey() != Source.VM_LIST && reportedAtNanos - e.getValue() > 0);
    }
    if (notLeavingAtNanos.size() < MAX_UPSTREAMS || notLeavingAtNanos.containsKey(upstream)) {
      notLeavingAtNanos.put(upstream, reportedAtNanos);
    }
    return false;
  }

  /**
   * Records that the upstream refused a request because it is leaving.
   *
   * @param upstream the name of the upstream
   * @return true if the upstream counts as leaving now and did not before
   */
  public boolean refused(String upstream) {
    return observe(upstream, Source.REFUSAL, clock.nowNanos());
  }

  /**
   * Records that an incarnation of an upstream announced that it is leaving.
   *
   * @param incarnation the {@linkplain RegisteredUpstream#incarnationKey key} of the incarnation
   * @return true if it counts as leaving now and did not before
   */
  public boolean announced(String incarnation) {
    return observe(incarnation, Source.ANNOUNCEMENT, clock.nowNanos());
  }

  /**
   * Processes an announcement that another node received.
   *
   * @param report the announcement
   * @return true if the incarnation counts as leaving now and did not before
   */
  public boolean announcementReported(Report report) {
    return report.ageNanos() >= 0
        && Source.ANNOUNCEMENT.isActive(report.ageNanos())
        && observe(report.upstream(), Source.ANNOUNCEMENT, clock.nowNanos() - report.ageNanos());
  }

  /**
   * Processes a report of another node.
   *
   * <p>Ignores a report that is older than the latest load report in which the upstream says that
   * it is not leaving.
   *
   * @param report the report
   * @return true if the upstream counts as leaving now and did not before
   */
  public boolean reportedByPeer(Report report) {
    if (report.ageNanos() < 0 || !Source.PEER.isActive(report.ageNanos())) {
      return false;
    }
    long observedAt = clock.nowNanos() - report.ageNanos();
    Long notLeavingAt = notLeavingAtNanos.get(report.upstream());
    if (notLeavingAt != null && notLeavingAt - observedAt >= 0) {
      return false;
    }
    return observe(report.upstream(), Source.PEER, observedAt);
  }

  /**
   * Returns whether an upstream counts as leaving.
   *
   * @param upstream the name of the upstream
   * @return true if at least one signal is active
   */
  public boolean isLeaving(String upstream) {
    EnumMap<Source, Long> signals = observedAtNanos.get(upstream);
    return signals != null && hasActiveSignal(signals);
  }

  /**
   * Marks the leaving upstreams of a directory.
   *
   * @param directory the directory
   * @return a copy in which upstreams with an active signal are marked as leaving
   */
  public UpstreamDirectory apply(UpstreamDirectory directory) {
    return UpstreamDirectory.of(
        directory.all().stream().map(r -> isLeaving(r.name()) ? r.asLeaving() : r).toList());
  }

  /**
   * Removes expired signals.
   *
   * @return true if at least one upstream no longer counts as leaving
   */
  public boolean expire() {
    long now = clock.nowNanos();
    Set<String> withoutSignals = new HashSet<>();
    observedAtNanos.forEach(
        (name, signals) -> {
          signals.entrySet().removeIf(e -> !e.getKey().isActive(now - e.getValue()));
          if (signals.isEmpty()) {
            withoutSignals.add(name);
          }
        });
    observedAtNanos.keySet().removeAll(withoutSignals);
    notLeavingAtNanos.values().removeIf(at -> !Source.PEER.isActive(now - at));
    return !withoutSignals.isEmpty();
  }

  /**
   * Returns the signals to pass on to other nodes: observations of this node and reports of other
   * nodes, each with its age.
   *
   * @param limit the largest number of signals to return
   * @return the most recent signal of each leaving upstream
   */
  public ImmutableList<Report> reports(int limit) {
    return reports(limit, report -> true);
  }

  /**
   * Returns some of the signals to pass on to other nodes, as {@link #reports(int)} does.
   *
   * @param limit the largest number of signals to return
   * @param isIncluded selects the signals
   * @return the most recent signal of each upstream, if it is selected
   */
  public ImmutableList<Report> reports(int limit, Predicate<Report> isIncluded) {
    long now = clock.nowNanos();
    return observedAtNanos.entrySet().stream()
        .filter(e -> hasActiveSignal(e.getValue()))
        .map(e -> new Report(e.getKey(), ageOf(e.getValue(), now)))
        .filter(isIncluded)
        .limit(limit)
        .collect(ImmutableList.toImmutableList());
  }

  private static long ageOf(EnumMap<Source, Long> signals, long now) {
    // The VM list is read periodically, so its signal is as old as the latest read.
    return now - signals.values().stream().mapToLong(Long::longValue).max().orElse(now);
  }

  private boolean observe(String upstream, Source source, long atNanos) {
    if (!observedAtNanos.containsKey(upstream) && observedAtNanos.size() >= MAX_UPSTREAMS) {
      return false;
    }
    boolean wasLeaving = isLeaving(upstream);
    observedAtNanos
        .computeIfAbsent(upstream, u -> new EnumMap<>(Source.class))
        .merge(source, atNanos, Math::max);
    return !wasLeaving;
  }

  private boolean hasActiveSignal(EnumMap<Source, Long> signals) {
    long now = clock.nowNanos();
    return signals.entrySet().stream().anyMatch(e -> e.getKey().isActive(now - e.getValue()));
  }
}
