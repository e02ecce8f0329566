package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cranberrystand.util.MonotonicClock;

/**
 * Combines the signals that say that an upstream is leaving.
 *
 * <p>The first signal is sufficient. Each signal but the VM list expires unless it is repeated, so
 * that a wrong report heals. Only own observations are passed on, with their age, so a report never
 * circulates longer than its lifetime. Not thread-safe.
 */
public final class DrainTracker {

  /** Source of a signal. */
  public enum Source {
    /** The VM list; holds until the list says otherwise. */
    VM_LIST(Long.MAX_VALUE),
    /** The upstream's own load report; repeated with each report. */
    LOAD_REPORT(10_000_000_000L),
    /** A refusal of the upstream; it may have been meant for one request only. */
    REFUSAL(3_000_000_000L),
    /** A digest of another node. */
    PEER(10_000_000_000L);

    private final long lifetimeNanos;

    Source(long lifetimeNanos) {
      this.lifetimeNanos = lifetimeNanos;
    }

    boolean holds(long ageNanos) {
      return ageNanos < lifetimeNanos;
    }
  }

  /**
   * An observation as passed on in digests.
   *
   * @param upstream the name of the upstream
   * @param ageNanos the time since it was observed
   */
  public record Report(String upstream, long ageNanos) {}

  private static final int MAX_UPSTREAMS = 4_096;

  private final MonotonicClock clock;
  private final Map<String, EnumMap<Source, Long>> observedAtNanos = new HashMap<>();
  private final Map<String, Long> stayingAtNanos = new HashMap<>();

  /**
   * Creates a tracker without signals.
   *
   * @param clock the clock of the node
   */
  public DrainTracker(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Replaces what the VM list says.
   *
   * @param leaving the names of all upstreams listed as leaving
   * @return true if an upstream counts as leaving now that did not before
   */
  public boolean listed(Collection<String> leaving) {
    Set<String> names = ImmutableSet.copyOf(leaving);
    observedAtNanos.forEach(
        (name, signals) -> {
          if (!names.contains(name)) {
            signals.remove(Source.VM_LIST);
          }
        });
    boolean news = false;
    for (String name : names) {
      news |= observe(name, Source.VM_LIST, clock.nowNanos());
    }
    return news;
  }

  /**
   * Takes the upstream's own load report into account.
   *
   * <p>A report that it is not leaving ends all older signals but the VM list, because the upstream
   * knows best. Reports lag, so a signal that is newer than the figures of the report stays.
   *
   * @param upstream the name of the upstream
   * @param draining what the report says
   * @param reportedAtNanos when its figures were taken, on the clock of the node
   * @return true if the upstream counts as leaving now and did not before
   */
  public boolean reported(String upstream, boolean draining, long reportedAtNanos) {
    if (draining) {
      return observe(upstream, Source.LOAD_REPORT, clock.nowNanos());
    }
    EnumMap<Source, Long> signals = observedAtNanos.get(upstream);
    if (signals != null) {
      signals
          .entrySet()
          .removeIf(e -> e.getKey() != Source.VM_LIST && reportedAtNanos - e.getValue() > 0);
    }
    if (stayingAtNanos.size() < MAX_UPSTREAMS || stayingAtNanos.containsKey(upstream)) {
      stayingAtNanos.put(upstream, reportedAtNanos);
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
   * Takes the report of another node into account.
   *
   * <p>A report older than the upstream's own statement that it stays is ignored.
   *
   * @param report the report
   * @return true if the upstream counts as leaving now and did not before
   */
  public boolean reportedByPeer(Report report) {
    if (report.ageNanos() < 0 || !Source.PEER.holds(report.ageNanos())) {
      return false;
    }
    long observed = clock.nowNanos() - report.ageNanos();
    Long staying = stayingAtNanos.get(report.upstream());
    if (staying != null && staying - observed >= 0) {
      return false;
    }
    return observe(report.upstream(), Source.PEER, observed);
  }

  /**
   * Tells whether an upstream counts as leaving.
   *
   * @param upstream the name of the upstream
   * @return true if a signal holds
   */
  public boolean isLeaving(String upstream) {
    EnumMap<Source, Long> signals = observedAtNanos.get(upstream);
    return signals != null && holds(signals);
  }

  /**
   * Marks the leaving upstreams of a directory.
   *
   * @param directory the directory
   * @return a directory in which exactly the leaving upstreams are marked as such
   */
  public UpstreamDirectory apply(UpstreamDirectory directory) {
    return UpstreamDirectory.of(
        directory.all().stream().map(r -> isLeaving(r.name()) ? r.asLeaving() : r).toList());
  }

  /**
   * Removes expired signals.
   *
   * @return true if an upstream does not count as leaving any more
   */
  public boolean expire() {
    long now = clock.nowNanos();
    Set<String> healed = new HashSet<>();
    observedAtNanos.forEach(
        (name, signals) -> {
          signals.entrySet().removeIf(e -> !e.getKey().holds(now - e.getValue()));
          if (signals.isEmpty()) {
            healed.add(name);
          }
        });
    observedAtNanos.keySet().removeAll(healed);
    stayingAtNanos.values().removeIf(at -> !Source.PEER.holds(now - at));
    return !healed.isEmpty();
  }

  /**
   * Returns the signals to pass on: own observations, and reports of peers with their age.
   *
   * @param limit the largest number to return
   * @return the youngest signal of each leaving upstream
   */
  public ImmutableList<Report> reports(int limit) {
    long now = clock.nowNanos();
    ImmutableList.Builder<Report> reports = ImmutableList.builder();
    observedAtNanos.entrySet().stream()
        .filter(e -> holds(e.getValue()))
        .limit(limit)
        .forEach(e -> reports.add(new Report(e.getKey(), ageOf(e.getValue(), now))));
    return reports.build();
  }

  private static long ageOf(EnumMap<Source, Long> signals, long now) {
    // The VM list is read again and again, so what it says is as old as its last reading.
    return now - signals.values().stream().mapToLong(Long::longValue).max().orElse(now);
  }

  private boolean observe(String upstream, Source source, long atNanos) {
    if (!observedAtNanos.containsKey(upstream) && observedAtNanos.size() >= MAX_UPSTREAMS) {
      return false;
    }
    boolean before = isLeaving(upstream);
    observedAtNanos
        .computeIfAbsent(upstream, u -> new EnumMap<>(Source.class))
        .merge(source, atNanos, Math::max);
    return !before;
  }

  private boolean holds(EnumMap<Source, Long> signals) {
    long now = clock.nowNanos();
    return signals.entrySet().stream().anyMatch(e -> e.getKey().holds(now - e.getValue()));
  }
}
