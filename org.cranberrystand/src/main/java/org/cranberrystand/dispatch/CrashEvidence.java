package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.util.BoundedMap;

/**
 * What is known of one key of requests: the crashes since the last answer to a request with it, and
 * whether there ever was an answer. Not thread-safe.
 *
 * <p>Content that crashes upstreams does so each time that it runs, so a success shows that it does
 * not. A failure may be the answer of an upstream that did not run the request; only several
 * upstreams together show that it runs without a crash.
 */
final class CrashEvidence {
  /** An upstream runs many requests at a time, so two crashes may be a coincidence. */
  private static final int CRASHES_TO_SUSPECT = 3;

  /** What many requests share is suspected after so many crashes, however many are lost. */
  private static final int MAX_CRASHES_TO_SUSPECT = 5;

  /**
   * What many requests share is suspected only if it is less likely than this that they lost their
   * upstreams by chance, or after {@link #MAX_CRASHES_TO_SUSPECT}.
   */
  private static final double MAX_CHANCE = 1e-4;

  /** Doubles with each further crash. */
  private static final long REFUSAL_NANOS = TimeUnit.SECONDS.toNanos(120);

  private static final int MAX_CRASHES = 8;

  /** Of so many further crashes only the identities are kept, and told to no other node. */
  private static final int MAX_OMITTED_CRASHES = 64;

  /**
   * The age under which an answer is passed on of which another node told. It is from before all
   * crashes; passing on its own age would add the delay of each report.
   */
  private static final long EARLIER_ANSWER_AGE_NANOS = TimeUnit.HOURS.toNanos(1);

  /** So many upstreams that answer with a failure, and none that crashes, are worth a success. */
  private static final int FAILURES_TO_CLEAR = 3;

  private final Map<Integer, Long> crashNanosByUpstream = new HashMap<>();

  /** The crashes beyond the maximum, which still show that the key had part in them. */
  private final Map<Integer, Long> omittedNanosByUpstream = new BoundedMap<>(MAX_OMITTED_CRASHES);

  /** The crashes that have no common cause, though they happened at the same moment. */
  private final Set<Integer> separateCrashes = new HashSet<>();

  /** The incarnations of the upstreams that answered with a failure since the last crash. */
  private final Set<String> failingUpstreams = new HashSet<>();

  private boolean everAnswered;
  private boolean clearedByAnswer;
  private long answerNanos;
  private long changedNanos;

  /** Whether other requests may have the key, since it is not that of a whole content. */
  private boolean shared;

  /** The share of the requests that were lost in other crashes, as the last crash was added. */
  private double lossRatio;

  /**
   * Creates evidence without crashes.
   *
   * @param lastAnswerNanos when this node received the last answer; null if it received none
   * @param nowNanos the current time
   */
  CrashEvidence(Long lastAnswerNanos, long nowNanos) {
    changedNanos = nowNanos;
    if (lastAnswerNanos != null) {
      everAnswered = true;
      clearedByAnswer = true;
      answerNanos = lastAnswerNanos;
    }
  }

  /** Takes over what a node knows of the key; returns whether that changes anything. */
  boolean merge(CrashRegister.Report report, long nowNanos) {
    boolean changed = false;
    List<Integer> laterCrashes =
        report.crashes().stream().map(CrashRegister.Crash::upstream).toList();
    if (report.answerAgeNanos() >= 0) {
      changed = addAnswer(nowNanos - report.answerAgeNanos(), laterCrashes, nowNanos);
    }
    for (CrashRegister.Crash crash : report.crashes()) {
      if (!crashNanosByUpstream.containsKey(crash.upstream())) {
        // A crash from before an answer that this node knows shows that the sender does not know
        // it, so the answer is passed on again.
        changed |= crash.ageNanos() < 0 || addCrash(crash.upstream(), nowNanos - crash.ageNanos());
      }
    }
    if (changed) {
      changedNanos = nowNanos;
    }
    return changed;
  }

  /** Returns false if the crash is one of those that are not kept. */
  private boolean addCrash(int upstream, long atNanos) {
    if (clearedByAnswer && atNanos - answerNanos <= 0) {
      return true;
    }
    crashNanosByUpstream.put(upstream, atNanos);
    failingUpstreams.clear();
    if (crashNanosByUpstream.size() > MAX_CRASHES) {
      omitClosestCrash();
    }
    return crashNanosByUpstream.containsKey(upstream);
  }

  /**
   * Omits the crash that follows another one most closely. Omitting the oldest would leave only
   * crashes with a common cause, by the time between them, while many upstreams crash.
   */
  private void omitClosestCrash() {
    List<Map.Entry<Integer, Long>> sorted = sortedCrashes();
    int closest = 1;
    for (int i = 2; i < sorted.size(); i++) {
      if (distanceNanos(sorted, i) < distanceNanos(sorted, closest)) {
        closest = i;
      }
    }
    Map.Entry<Integer, Long> omitted = sorted.get(closest);
    omittedNanosByUpstream.put(omitted.getKey(), omitted.getValue());
    crashNanosByUpstream.remove(omitted.getKey());
  }

  private static long distanceNanos(List<Map.Entry<Integer, Long>> sorted, int index) {
    return sorted.get(index).getValue() - sorted.get(index - 1).getValue();
  }

  /** Records that this node received a success; returns whether that changes anything. */
  boolean answered(long nowNanos) {
    return addAnswer(nowNanos, List.of(), nowNanos);
  }

  /** Records that an upstream answered with a failure; returns whether that changes anything. */
  boolean failed(String incarnation, long nowNanos) {
    failingUpstreams.add(incarnation);
    return failingUpstreams.size() >= FAILURES_TO_CLEAR && answered(nowNanos);
  }

  /** Returns whether the answer changes anything. */
  private boolean addAnswer(long atNanos, List<Integer> laterCrashes, long nowNanos) {
    boolean cleared =
        crashNanosByUpstream
            .entrySet()
            .removeIf(
                crash -> crash.getValue() - atNanos <= 0 && !laterCrashes.contains(crash.getKey()));
    omittedNanosByUpstream.values().removeIf(crashNanos -> crashNanos - atNanos <= 0);
    if (cleared) {
      clearedByAnswer = true;
      answerNanos = atNanos;
    }
    boolean changed = cleared || !everAnswered;
    if (changed) {
      changedNanos = nowNanos;
    }
    everAnswered = true;
    return changed;
  }

  /** Returns how many upstreams crashed without an answer in between. */
  int crashCount() {
    return crashNanosByUpstream.size();
  }

  /** Returns when something of this changed last. */
  long changedNanos() {
    return changedNanos;
  }

  private List<Map.Entry<Integer, Long>> sortedCrashes() {
    List<Map.Entry<Integer, Long>> sorted = new ArrayList<>(crashNanosByUpstream.entrySet());
    sorted.sort((a, b) -> Long.signum(a.getValue() - b.getValue()));
    return sorted;
  }

  /** Returns the times of the crashes by their identities, those at the same moment together. */
  private List<Map<Integer, Long>> crashesByMoment() {
    List<Map<Integer, Long>> moments = new ArrayList<>();
    Map<Integer, Long> moment = new LinkedHashMap<>();
    long startNanos = 0;
    for (Map.Entry<Integer, Long> crash : sortedCrashes()) {
      long atNanos = crash.getValue();
      if (moments.isEmpty() || atNanos - startNanos >= CrashRegister.MIN_SEPARATION_NANOS) {
        moment = new LinkedHashMap<>();
        moments.add(moment);
        startNanos = atNanos;
      }
      moment.put(crash.getKey(), atNanos);
    }
    return moments;
  }

  /**
   * Returns the times of the crashes that count; of those at the same moment only the first one if
   * they may have a common cause.
   */
  private List<Long> separateCrashes() {
    List<Long> separate = new ArrayList<>();
    for (Map<Integer, Long> moment : crashesByMoment()) {
      boolean countsEach = !everAnswered && separateCrashes.containsAll(moment.keySet());
      moment.values().stream().limit(countsEach ? moment.size() : 1).forEach(separate::add);
    }
    return separate;
  }

  /**
   * Finds out whether crashes at the same moment have a common cause. Of copies of one request each
   * may crash its upstream, while requests that merely share a part, or that are known to run, are
   * lost together with what they were sent to.
   *
   * @return whether that is decided for good, for each moment
   */
  boolean decideCauses(CommonCauses causes, long nowNanos) {
    boolean decided = true;
    if (!shared && !everAnswered) {
      for (Map<Integer, Long> moment : crashesByMoment()) {
        decided &= decideCause(moment, causes, nowNanos);
      }
    }
    return decided;
  }

  private boolean decideCause(Map<Integer, Long> moment, CommonCauses causes, long nowNanos) {
    if (moment.size() == 1 || separateCrashes.containsAll(moment.keySet())) {
      return true;
    }
    if (causes.areRuledOut(moment, this::knows, nowNanos)) {
      separateCrashes.addAll(moment.keySet());
      changedNanos = nowNanos;
      return true;
    }
    return causes.isTooLate(Collections.max(moment.values()), nowNanos);
  }

  /** Records that other requests may have the key; returns whether that changes its rank. */
  boolean markShared() {
    EvidenceRank before = rank();
    shared = true;
    return rank() != before;
  }

  /** Records how many requests are lost in other crashes than those of the key. */
  void recordLosses(LossRatio losses, long nowNanos) {
    if (crashNanosByUpstream.size() >= CRASHES_TO_SUSPECT) {
      lossRatio = losses.without(crashNanosByUpstream.keySet(), nowNanos);
    }
  }

  private int crashesToSuspect() {
    if (!shared || lossRatio == 0) {
      return CRASHES_TO_SUSPECT;
    }
    // The first crash only selects the key among all others.
    int others = (int) Math.ceil(Math.log(MAX_CHANCE) / Math.log(lossRatio));
    return Math.min(MAX_CRASHES_TO_SUSPECT, Math.max(CRASHES_TO_SUSPECT, 1 + others));
  }

  EvidenceRank rank() {
    return EvidenceRank.of(separateCrashes().size(), crashesToSuspect());
  }

  /** Returns for how long the key must be refused; at most 0 if it is accepted. */
  long refusalNanos(long nowNanos) {
    List<Long> crashes = separateCrashes();
    int excess = crashes.size() - crashesToSuspect();
    return excess < 0 ? 0 : crashes.get(crashes.size() - 1) + (REFUSAL_NANOS << excess) - nowNanos;
  }

  boolean isSuspected(long nowNanos) {
    return crashNanosByUpstream.size() >= CRASHES_TO_SUSPECT && refusalNanos(nowNanos) > 0;
  }

  /** Returns whether this key was there in all crashes of another one and is more suspect. */
  boolean explains(CrashEvidence other) {
    if (!includesCrashesOf(other)) {
      return false;
    }
    return everAnswered == other.everAnswered ? !other.includesCrashesOf(this) : other.everAnswered;
  }

  /** Returns whether this key and another one explain the same crashes equally well. */
  boolean rivals(CrashEvidence other) {
    return everAnswered == other.everAnswered
        && includesCrashesOf(other)
        && other.includesCrashesOf(this);
  }

  /**
   * Returns whether this key was there in all crashes of another one. Other nodes don't tell of the
   * crashes beyond the maximum, so with more of them it is enough to know of half.
   */
  private boolean includesCrashesOf(CrashEvidence other) {
    int knownCount = 0;
    for (Map.Entry<Integer, Long> crash : other.crashNanosByUpstream.entrySet()) {
      if (knows(crash.getKey())) {
        knownCount++;
      } else if (!mayHaveOmitted(crash.getValue())) {
        return false;
      }
    }
    return 2 * knownCount >= other.crashNanosByUpstream.size();
  }

  private boolean knows(int upstream) {
    return crashNanosByUpstream.containsKey(upstream)
        || omittedNanosByUpstream.containsKey(upstream);
  }

  private boolean mayHaveOmitted(long atNanos) {
    return crashNanosByUpstream.size() == MAX_CRASHES
        && atNanos - sortedCrashes().get(MAX_CRASHES - 1).getValue() <= 0;
  }

  CrashRegister.Report report(long key, long nowNanos) {
    return new CrashRegister.Report(
        key,
        answerAgeNanos(nowNanos),
        crashNanosByUpstream.entrySet().stream()
            .map(crash -> new CrashRegister.Crash(crash.getKey(), nowNanos - crash.getValue()))
            .collect(ImmutableList.toImmutableList()));
  }

  private long answerAgeNanos(long nowNanos) {
    if (clearedByAnswer) {
      return nowNanos - answerNanos;
    }
    return everAnswered ? EARLIER_ANSWER_AGE_NANOS : -1;
  }
}
