package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cranberrystand.util.BoundedMap;

/**
 * Finds out which content crashes upstreams, from what the requests had in common that upstreams
 * were about to answer when they crashed.
 *
 * <p>A request has several keys: one for its whole content and one for each part of its prompt that
 * other requests may share. A key is suspected after several crashes without an answer in between.
 * A success clears a key, since content that crashes upstreams never gets one. While many requests
 * are lost in other crashes, a part that requests share is suspected after more of them.
 *
 * <p>All keys of a request are charged with its crash, though one of them explains it. So a
 * suspected key is refused only if no other key explains its crashes better: one that no request
 * was ever answered with, or one that was there in further crashes. If several keys explain the
 * same crashes equally well, requests with all of them are refused, and of the requests with some
 * of them one at a time is sent, to find out ({@link Suspicion}).
 *
 * <p>Nodes tell each other of crashes and answers, because the requests with a key arrive at any
 * node. The number of keys is bounded; those that are least suspected give way first. Not
 * thread-safe.
 */
public final class CrashRegister {
  /**
   * Crashes that are closer may have a common cause, such as a failure domain that was lost, and
   * then count as one; in nanoseconds.
   */
  public static final long MIN_SEPARATION_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** An upstream crashes within this time if it crashes because of a request. */
  private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final int MAX_PROBES = 1_024;
  private static final int MAX_UNDECIDED = 1_024;
  private static final int MAX_ANSWERS = 8_192;

  /** Most keys are cleared of one crash sooner or later, which tells nothing. */
  private static final int MIN_CHANGED_CRASHES = 2;

  /**
   * A crash of an upstream that was about to answer a request with the key.
   *
   * @param upstream identifies the crash: a hash of the incarnation of the upstream and of how
   *     often that has crashed before
   * @param ageNanos the time since the crash, in nanoseconds
   */
  public record Crash(int upstream, long ageNanos) {}

  /**
   * What a node knows of a key, as passed on to other nodes.
   *
   * @param key the key
   * @param answerAgeNanos the time since an answer to a request with the key, in nanoseconds;
   *     negative if none is known
   * @param crashes the crashes since then
   */
  public record Report(long key, long answerAgeNanos, ImmutableList<Crash> crashes) {}

  /** Why a key is accepted or suspected from now on. */
  public enum ChangeKind {
    /** Several upstreams crashed without an answer in between. */
    SUSPECTED,

    /** A request with the key was answered, here or at another node. */
    ANSWERED,

    /** There was no room for the key, though it was suspected. */
    FORGOTTEN
  }

  /**
   * A change of what is known of a key.
   *
   * @param key the key
   * @param kind the kind of change
   * @param crashes how many upstreams crashed: all for a suspected key, otherwise those that do not
   *     count any more
   */
  public record Change(long key, ChangeKind kind, int crashes) {}

  /**
   * Whether a request may be sent.
   *
   * @param refusalNanos for how long the request must be refused, in nanoseconds; 0 if it may be
   *     sent
   * @param probedKeys the keys of which the request finds out whether they crash upstreams, if it
   *     may be sent; it must be sent to one upstream only
   */
  public record Verdict(long refusalNanos, ImmutableList<Long> probedKeys) {
    /**
     * Returns for how long the request must be refused.
     *
     * @return the time in milliseconds, rounded up; 0 if it may be sent
     */
    public long refusalMillis() {
      return (refusalNanos + 999_999) / 1_000_000;
    }

    /**
     * Returns whether the request may be sent only to find out which content crashes upstreams.
     *
     * @return true if it may be sent, and probes keys
     */
    public boolean isProbe() {
      return refusalNanos == 0 && !probedKeys.isEmpty();
    }
  }

  private final EvidenceTable table = new EvidenceTable();
  private final CrashNews news = new CrashNews(table);
  private final CrashedUpstreams upstreams = new CrashedUpstreams();
  private final CommonCauses causes = new CommonCauses(upstreams);
  private final LossRatio losses = new LossRatio();

  /** Kept for all keys, since another node may report a crash from before the answer. */
  private final Map<Long, Long> answerNanosByKey = new BoundedMap<>(MAX_ANSWERS);

  /** The keys with crashes of which it is open whether they have a common cause. */
  private final Map<Long, Long> undecidedKeys = new BoundedMap<>(MAX_UNDECIDED);

  private final Map<Long, Long> probeUntilNanosByKey = new BoundedMap<>(MAX_PROBES);

  /**
   * Records that an upstream crashed when it was about to answer a request.
   *
   * @param keys the keys of the request, that of the whole content first
   * @param incarnation the key of the incarnation of the upstream, as it is registered
   * @param connectedNanos when the connection was opened on which the request was sent
   * @param atNanos the time of the crash
   * @param nowNanos the current time
   * @return what has changed
   */
  public ImmutableList<Change> crashed(
      Collection<Long> keys, String incarnation, long connectedNanos, long atNanos, long nowNanos) {
    int upstream = upstreams.crashOf(incarnation, connectedNanos, atNanos);
    losses.lost(upstream, nowNanos);
    ImmutableList<Crash> crash = ImmutableList.of(new Crash(upstream, nowNanos - atNanos));
    ImmutableList<Change> changes =
        merge(keys.stream().map(key -> new Report(key, -1, crash)).toList(), true, nowNanos);
    markShared(keys);
    return changes;
  }

  /**
   * Records in which failure domain an upstream is registered.
   *
   * @param incarnation the key of the incarnation of the upstream
   * @param domain the failure domain
   */
  public void registered(String incarnation, String domain) {
    causes.registered(incarnation, domain);
  }

  /**
   * Records that an upstream answered, whatever the answer.
   *
   * @param incarnation the key of the incarnation of the upstream
   * @param domain its failure domain
   * @param connectedNanos when the connection of the answer was opened
   * @param nowNanos the current time
   */
  public void survived(String incarnation, String domain, long connectedNanos, long nowNanos) {
    causes.answered(incarnation, domain, connectedNanos, nowNanos);
  }

  /**
   * Records crashes of which another node saw that other upstreams in the same failure domain lived
   * through them.
   *
   * @param crashes the identities of the crashes
   */
  public void survivedElsewhere(Collection<Integer> crashes) {
    causes.survivedElsewhere(crashes);
  }

  /**
   * Returns the recent crashes of which this or another node saw that other upstreams in the same
   * failure domain lived through them.
   *
   * @param nowNanos the current time
   * @return the identities of the crashes
   */
  public ImmutableList<Integer> survivedCrashes(long nowNanos) {
    return causes.survivedCrashes(nowNanos);
  }

  /**
   * Returns whether this or another node has seen the upstream of a connection crash about the time
   * at which this node closed the connection, or later.
   *
   * @param incarnation the key of the incarnation of the upstream, as it is registered
   * @param connectedNanos when the connection was opened
   * @param closedNanos when it was closed
   * @return true if a crash ended the process to which the connection was opened
   */
  public boolean hasCrashed(String incarnation, long connectedNanos, long closedNanos) {
    return upstreams.hasCrashed(incarnation, connectedNanos, closedNanos);
  }

  /**
   * Takes over what another node knows.
   *
   * @param reports the reports of the node
   * @param nowNanos the current time
   * @return what has changed
   */
  public ImmutableList<Change> reported(Collection<Report> reports, long nowNanos) {
    for (Report report : reports) {
      report.crashes().stream()
          .filter(crash -> crash.ageNanos() >= 0)
          .forEach(crash -> upstreams.add(crash.upstream(), nowNanos - crash.ageNanos()));
    }
    return merge(reports, false, nowNanos);
  }

  private ImmutableList<Change> merge(Collection<Report> reports, boolean seenHere, long nowNanos) {
    table.removeExpired(nowNanos);
    ImmutableList.Builder<Change> changes = ImmutableList.builder();
    for (Report report : reports) {
      long key = report.key();
      CrashEvidence known = table.get(key);
      CrashEvidence evidence =
          known == null ? new CrashEvidence(answerNanosByKey.get(key), nowNanos) : known;
      boolean suspectedBefore = evidence.isSuspected(nowNanos);
      int crashesBefore = evidence.crashCount();
      if (!evidence.merge(report, nowNanos)) {
        continue;
      }
      evidence.recordLosses(losses, nowNanos);
      undecidedKeys.put(key, key);
      store(key, evidence, seenHere, nowNanos).ifPresent(changes::add);
      if (!suspectedBefore && evidence.isSuspected(nowNanos)) {
        changes.add(new Change(key, ChangeKind.SUSPECTED, evidence.crashCount()));
      } else {
        cleared(key, evidence, crashesBefore).ifPresent(changes::add);
      }
    }
    return changes.build();
  }

  /** Stores changed evidence; returns the change for a suspected key that had to give way. */
  private Optional<Change> store(
      long key, CrashEvidence evidence, boolean seenHere, long nowNanos) {
    Optional<Map.Entry<Long, CrashEvidence>> evicted = table.put(key, evidence);
    news.changed(key, evidence, seenHere);
    return evicted
        .filter(entry -> entry.getValue().isSuspected(nowNanos))
        .map(
            entry ->
                new Change(entry.getKey(), ChangeKind.FORGOTTEN, entry.getValue().crashCount()));
  }

  private static Optional<Change> cleared(long key, CrashEvidence evidence, int crashesBefore) {
    int clearedCount = crashesBefore - evidence.crashCount();
    return clearedCount < MIN_CHANGED_CRASHES
        ? Optional.empty()
        : Optional.of(new Change(key, ChangeKind.ANSWERED, clearedCount));
  }

  /**
   * Records that an upstream ran a request with success, which clears its keys.
   *
   * @param keys the keys of the request
   * @param nowNanos the current time
   * @return what has changed
   */
  public ImmutableList<Change> answered(Collection<Long> keys, long nowNanos) {
    losses.answered(nowNanos);
    for (Long key : keys) {
      answerNanosByKey.remove(key);
      answerNanosByKey.put(key, nowNanos);
    }
    return clear(keys, evidence -> evidence.answered(nowNanos), nowNanos);
  }

  /**
   * Records that an upstream answered a request with a failure. It may not have run the request, so
   * this clears the keys only after the same at several other upstreams.
   *
   * @param keys the keys of the request
   * @param incarnation the key of the incarnation of the upstream
   * @param nowNanos the current time
   * @return what has changed
   */
  public ImmutableList<Change> failed(Collection<Long> keys, String incarnation, long nowNanos) {
    return clear(keys, evidence -> evidence.failed(incarnation, nowNanos), nowNanos);
  }

  private ImmutableList<Change> clear(
      Collection<Long> keys, Predicate<CrashEvidence> answer, long nowNanos) {
    ImmutableList.Builder<Change> changes = ImmutableList.builder();
    for (long key : keys) {
      CrashEvidence evidence = table.get(key);
      int crashesBefore = evidence == null ? 0 : evidence.crashCount();
      if (evidence != null && answer.test(evidence)) {
        store(key, evidence, true, nowNanos).ifPresent(changes::add);
        cleared(key, evidence, crashesBefore).ifPresent(changes::add);
      }
    }
    return changes.build();
  }

  /**
   * Returns how many upstreams crashed without an answer to a request with a key in between.
   *
   * @param key the key
   * @return the number of crashes that are known
   */
  public int crashCount(long key) {
    CrashEvidence evidence = table.get(key);
    return evidence == null ? 0 : evidence.crashCount();
  }

  /**
   * Decides whether a request may be sent. A request that probes keys must be announced with {@link
   * #probeSent} when it is admitted.
   *
   * @param keys the keys of the request, that of the whole content first
   * @param nowNanos the current time
   * @return the decision
   */
  public Verdict judge(Collection<Long> keys, long nowNanos) {
    markShared(keys);
    long refusalNanos = 0;
    long probeNanos = 0;
    ImmutableList.Builder<Long> probed = ImmutableList.builder();
    for (long key : keys) {
      if (!suspicion(key, nowNanos).refuses()) {
        continue;
      }
      if (keys.containsAll(rivals(key, nowNanos))) {
        long keyNanos = table.get(key).refusalNanos(nowNanos);
        refusalNanos = Math.max(refusalNanos, keyNanos);
      } else {
        probeNanos = Math.max(probeNanos, probeNanos(key, nowNanos));
        probed.add(key);
      }
    }
    return new Verdict(Math.max(refusalNanos, probeNanos), probed.build());
  }

  private void markShared(Collection<Long> keys) {
    keys.stream()
        .skip(1)
        .forEach(
            key -> {
              CrashEvidence evidence = table.get(key);
              if (evidence != null && evidence.markShared()) {
                table.put(key, evidence);
              }
            });
  }

  /**
   * Records that a request is sent to find out whether keys of it crash upstreams. For some time,
   * no other request is sent for the same reason.
   *
   * @param keys the probed keys
   * @param nowNanos the current time
   */
  public void probeSent(Collection<Long> keys, long nowNanos) {
    keys.forEach(key -> probeUntilNanosByKey.put(key, nowNanos + PROBE_NANOS));
  }

  private long probeNanos(long key, long nowNanos) {
    Long until = probeUntilNanosByKey.get(key);
    return until == null ? 0 : Math.max(0, until - nowNanos);
  }

  /**
   * Returns how much a key is suspected to crash upstreams.
   *
   * @param key the key
   * @param nowNanos the current time
   * @return the suspicion
   */
  public Suspicion suspicion(long key, long nowNanos) {
    CrashEvidence evidence = table.get(key);
    if (evidence == null || !evidence.isSuspected(nowNanos)) {
      return Suspicion.NONE;
    }
    if (suspects(nowNanos).anyMatch(other -> other.getValue().explains(evidence))) {
      return Suspicion.EXPLAINED;
    }
    return rivals(key, nowNanos).isEmpty() ? Suspicion.CERTAIN : Suspicion.UNDECIDED;
  }

  /** Returns the other keys that explain the same crashes as well as a key. */
  private ImmutableList<Long> rivals(long key, long nowNanos) {
    CrashEvidence evidence = table.get(key);
    return suspects(nowNanos)
        .filter(other -> other.getKey() != key && other.getValue().rivals(evidence))
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }

  private Stream<Map.Entry<Long, CrashEvidence>> suspects(long nowNanos) {
    return table.suspected().filter(entry -> entry.getValue().isSuspected(nowNanos));
  }

  /**
   * Finds out which crashes at the same moment have no common cause; to be called several times a
   * second.
   *
   * @param nowNanos the current time
   * @return what has changed
   */
  public ImmutableList<Change> review(long nowNanos) {
    ImmutableList.Builder<Change> changes = ImmutableList.builder();
    for (long key : ImmutableList.copyOf(undecidedKeys.keySet())) {
      CrashEvidence evidence = table.get(key);
      boolean suspectedBefore = evidence != null && evidence.isSuspected(nowNanos);
      if (evidence == null || evidence.decideCauses(causes, nowNanos)) {
        undecidedKeys.remove(key);
      }
      if (evidence != null && !suspectedBefore && evidence.isSuspected(nowNanos)) {
        table.put(key, evidence);
        changes.add(new Change(key, ChangeKind.SUSPECTED, evidence.crashCount()));
      }
    }
    return changes.build();
  }

  /**
   * Returns the number of keys because of which requests are refused.
   *
   * @param nowNanos the current time
   * @return the number of keys
   */
  public int refusedCount(long nowNanos) {
    return (int)
        suspects(nowNanos).filter(entry -> suspicion(entry.getKey(), nowNanos).refuses()).count();
  }

  /**
   * Returns what to pass on to other nodes in the next report.
   *
   * @param nowNanos the current time
   * @return what is known of some keys
   */
  public ImmutableList<Report> reports(long nowNanos) {
    return news.next(nowNanos).stream()
        .map(key -> table.get(key).report(key, nowNanos))
        .collect(ImmutableList.toImmutableList());
  }
}
