package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Finds out which content crashes upstreams, from what the requests had in common that upstreams
 * were about to answer when they crashed.
 *
 * <p>A request has several keys: one for its whole content and one for each part of its prompt that
 * other requests may share. A key is refused after several crashes without an answer in between.
 * Any answer clears a key, since content that crashes upstreams never gets one; so keys that many
 * sound requests share stay accepted.
 *
 * <p>Nodes tell each other of crashes and answers, because the requests with a key arrive at any
 * node. The number of entries is bounded; the least recently updated entry is evicted first. Not
 * thread-safe.
 */
public final class CrashRegister {
  /** An upstream runs many requests at a time, so two crashes may be a coincidence. */
  private static final int CRASHES_TO_REFUSE = 3;

  /** Crashes that are closer have a common cause, such as a failure domain that was lost. */
  private static final long MIN_SEPARATION_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Doubles with each further crash. */
  private static final long REFUSAL_NANOS = TimeUnit.SECONDS.toNanos(120);

  private static final int MAX_CRASHES_PER_KEY = 8;
  private static final int MAX_ENTRIES = 1_024;
  private static final int MAX_ANSWERS = 4_096;

  /** Covers several reports, so that a lost one does no harm. */
  private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Limits the size of a report. */
  private static final int MAX_REPORTED = 32;

  /**
   * A crash of an upstream that was about to answer a request with the key.
   *
   * @param upstream the hash of the incarnation of the upstream
   * @param ageNanos the time since the crash, in nanoseconds
   */
  public record Crash(int upstream, long ageNanos) {}

  /**
   * What a node knows of a key, as passed on to other nodes.
   *
   * @param key the key
   * @param answerAgeNanos the time since the last answer to a request with the key, in nanoseconds;
   *     negative if there was none
   * @param crashes the crashes since then
   */
  public record Report(long key, long answerAgeNanos, ImmutableList<Crash> crashes) {}

  /** The crashes of a key since the last answer to a request with it. */
  private static final class Evidence {
    private final Map<Integer, Long> crashNanosByUpstream = new HashMap<>();
    private boolean answered;
    private long answerNanos;
    private long changedNanos;

    /** Returns whether the crash is news; it is not if a request was answered since then. */
    private boolean addCrash(int upstream, long atNanos) {
      boolean outdated = answered && atNanos - answerNanos <= 0;
      if (outdated || crashNanosByUpstream.putIfAbsent(upstream, atNanos) != null) {
        return false;
      }
      if (crashNanosByUpstream.size() > MAX_CRASHES_PER_KEY) {
        crashNanosByUpstream.values().remove(sortedCrashes().get(0));
      }
      return true;
    }

    /** Clears the crashes before an answer, and returns whether there were any. */
    private boolean addAnswer(long atNanos, Collection<Integer> laterCrashes) {
      boolean cleared =
          crashNanosByUpstream
              .entrySet()
              .removeIf(
                  crash ->
                      crash.getValue() - atNanos <= 0 && !laterCrashes.contains(crash.getKey()));
      if (cleared) {
        answered = true;
        answerNanos = atNanos;
      }
      return cleared;
    }

    private List<Long> sortedCrashes() {
      List<Long> sorted = new ArrayList<>(crashNanosByUpstream.values());
      sorted.sort((a, b) -> Long.signum(a - b));
      return sorted;
    }

    /** Returns for how long the key must be refused; at most 0 if it is accepted. */
    private long refusalNanos(long nowNanos) {
      int count = 0;
      long last = 0;
      for (long crash : sortedCrashes()) {
        if (count == 0 || crash - last >= MIN_SEPARATION_NANOS) {
          count++;
          last = crash;
        }
      }
      return count < CRASHES_TO_REFUSE
          ? 0
          : last + (REFUSAL_NANOS << (count - CRASHES_TO_REFUSE)) - nowNanos;
    }

    private boolean isRefused(long nowNanos) {
      return crashNanosByUpstream.size() >= CRASHES_TO_REFUSE && refusalNanos(nowNanos) > 0;
    }

    private Report report(long key, long nowNanos) {
      return new Report(
          key,
          answered ? nowNanos - answerNanos : -1,
          crashNanosByUpstream.entrySet().stream()
              .map(crash -> new Crash(crash.getKey(), nowNanos - crash.getValue()))
              .collect(ImmutableList.toImmutableList()));
    }
  }

  /** A map that evicts the entry that was put first once it has more than a number of entries. */
  private static final class BoundedMap<V> extends LinkedHashMap<Long, V> {
    private static final long serialVersionUID = 1;

    private final int maxEntries;

    private BoundedMap(int maxEntries) {
      this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
      return size() > maxEntries;
    }
  }

  private final Map<Long, Evidence> evidenceByKey = new BoundedMap<>(MAX_ENTRIES);

  /** Kept for all keys, since another node may report a crash from before the answer. */
  private final Map<Long, Long> answerNanosByKey = new BoundedMap<>(MAX_ANSWERS);

  /**
   * Records that an upstream crashed when it was about to answer a request.
   *
   * @param keys the keys of the request
   * @param incarnation the key of the incarnation of the upstream
   * @param atNanos the time of the crash
   * @param nowNanos the current time
   * @return the keys that are refused from now on
   */
  public ImmutableList<Long> crashed(
      Collection<Long> keys, String incarnation, long atNanos, long nowNanos) {
    return keys.stream()
        .map(key -> new Report(key, -1, crash(incarnation, nowNanos - atNanos)))
        .filter(report -> merge(report, nowNanos))
        .map(Report::key)
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<Crash> crash(String incarnation, long ageNanos) {
    return ImmutableList.of(new Crash(incarnation.hashCode(), ageNanos));
  }

  /**
   * Takes over what another node knows.
   *
   * @param reports the reports of the node
   * @param nowNanos the current time
   * @return the keys that are refused from now on
   */
  public ImmutableList<Long> reported(Collection<Report> reports, long nowNanos) {
    return reports.stream()
        .filter(report -> merge(report, nowNanos))
        .map(Report::key)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether the key is refused from now on. */
  private boolean merge(Report report, long nowNanos) {
    Evidence evidence = evidenceFor(report.key());
    boolean refusedBefore = evidence.isRefused(nowNanos);
    List<Integer> laterCrashes = report.crashes().stream().map(Crash::upstream).toList();
    boolean changed =
        report.answerAgeNanos() >= 0
            && evidence.addAnswer(nowNanos - report.answerAgeNanos(), laterCrashes);
    for (Crash crash : report.crashes()) {
      boolean known = evidence.crashNanosByUpstream.containsKey(crash.upstream());
      // A crash from before an answer that this node knows shows that the sender does not know it.
      changed |= !known;
      if (!known && crash.ageNanos() >= 0) {
        evidence.addCrash(crash.upstream(), nowNanos - crash.ageNanos());
      }
    }
    if (changed) {
      evidence.changedNanos = nowNanos;
    }
    return !refusedBefore && evidence.isRefused(nowNanos);
  }

  private Evidence evidenceFor(long key) {
    Evidence known = evidenceByKey.remove(key);
    Evidence evidence = known == null ? new Evidence() : known;
    evidenceByKey.put(key, evidence);
    Long answerNanos = answerNanosByKey.get(key);
    if (known == null && answerNanos != null) {
      evidence.answered = true;
      evidence.answerNanos = answerNanos;
    }
    return evidence;
  }

  /**
   * Records that an upstream answered a request, which clears its keys.
   *
   * @param keys the keys of the request
   * @param nowNanos the current time
   */
  public void answered(Collection<Long> keys, long nowNanos) {
    for (Long key : keys) {
      answerNanosByKey.remove(key);
      answerNanosByKey.put(key, nowNanos);
      Evidence evidence = evidenceByKey.get(key);
      if (evidence != null && evidence.addAnswer(nowNanos, List.of())) {
        evidence.changedNanos = nowNanos;
      }
    }
  }

  /**
   * Returns for how long a request must be refused.
   *
   * @param keys the keys of the request
   * @param nowNanos the current time
   * @return the remaining time in nanoseconds; 0 if the request is accepted
   */
  public long refusalNanos(Collection<Long> keys, long nowNanos) {
    long longest = 0;
    for (long key : keys) {
      Evidence evidence = evidenceByKey.get(key);
      if (evidence != null && evidence.isRefused(nowNanos)) {
        longest = Math.max(longest, evidence.refusalNanos(nowNanos));
      }
    }
    return longest;
  }

  /**
   * Returns the number of refused keys.
   *
   * @param nowNanos the current time
   * @return the number of keys
   */
  public int refusedCount(long nowNanos) {
    return (int) evidenceByKey.values().stream().filter(one -> one.isRefused(nowNanos)).count();
  }

  /**
   * Returns what to pass on to other nodes: all refused keys, for nodes that have just started, and
   * what has changed lately.
   *
   * @param nowNanos the current time
   * @return the reports, those with most crashes first
   */
  public ImmutableList<Report> reports(long nowNanos) {
    return evidenceByKey.entrySet().stream()
        .filter(entry -> isReported(entry.getValue(), nowNanos))
        .map(entry -> entry.getValue().report(entry.getKey(), nowNanos))
        .sorted(Comparator.comparingInt((Report report) -> report.crashes().size()).reversed())
        .limit(MAX_REPORTED)
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean isReported(Evidence evidence, long nowNanos) {
    boolean changedLately =
        evidence.changedNanos != 0 && nowNanos - evidence.changedNanos < REPORT_NANOS;
    return changedLately || evidence.isRefused(nowNanos);
  }
}
