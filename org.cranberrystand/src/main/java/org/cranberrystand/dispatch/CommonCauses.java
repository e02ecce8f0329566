package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cranberrystand.util.BoundedMap;

/**
 * Tells crashes at the same moment with a common cause, such as a failure domain or a rack that was
 * lost, from those of which each was caused by a copy of the same request. Not thread-safe.
 *
 * <p>A common cause is ruled out only by what was seen: in the failure domain of each crash,
 * another upstream lived on, and no upstream crashed at that moment to which no copy was sent. A
 * node hears from few upstreams while it has little traffic, so nodes tell each other which crashes
 * others lived through.
 */
final class CommonCauses {
  private static final int MAX_DOMAINS = 1_024;

  /** Those longest without an answer give way first. */
  private static final int MAX_CONNECTIONS_PER_DOMAIN = 512;

  /** Answers that were on their way during a crash do not show that their upstream lives on. */
  private static final long IN_FLIGHT_NANOS = CrashRegister.MIN_SEPARATION_NANOS;

  /** By then nodes have told each other of all crashes of that moment. */
  private static final long MIN_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Later answers come on connections from after the crashes. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** As many as a report has room for beside everything else. */
  private static final int MAX_REPORTED = 32;

  /** A connection to one run of a process. */
  private record Connection(String incarnation, long openedNanos) {}

  private final CrashedUpstreams crashes;

  /** The failure domains of upstreams, by the identity of a crash of them. */
  private final Map<Integer, String> domainByCrash = new BoundedMap<>(CrashedUpstreams.MAX_CRASHES);

  /** When upstreams last answered on their connections, by failure domain. */
  private final Map<String, Map<Connection, Long>> answerNanosByDomain =
      new BoundedMap<>(MAX_DOMAINS);

  /** The crashes of which another node saw that their failure domain was not lost. */
  private final Map<Integer, Boolean> survivedElsewhere =
      new BoundedMap<>(CrashedUpstreams.MAX_CRASHES);

  CommonCauses(CrashedUpstreams crashes) {
    this.crashes = crashes;
  }

  /** Records in which failure domain an upstream is registered. */
  void registered(String incarnation, String domain) {
    domainByCrash.put(CrashedUpstreams.firstCrashOf(incarnation), domain);
  }

  /** Records an answer of an upstream on a connection that was opened at a time. */
  void answered(String incarnation, String domain, long connectedNanos, long nowNanos) {
    Map<Connection, Long> answers =
        answerNanosByDomain.computeIfAbsent(
            domain, any -> new BoundedMap<>(MAX_CONNECTIONS_PER_DOMAIN));
    Connection connection = new Connection(incarnation, connectedNanos);
    answers.remove(connection);
    answers.put(connection, nowNanos);
  }

  /** Records crashes of which another node saw that their failure domain was not lost. */
  void survivedElsewhere(Collection<Integer> survived) {
    survived.forEach(crash -> survivedElsewhere.put(crash, true));
  }

  /**
   * Returns recent crashes whose failure domain was not lost, as far as this or another node saw.
   */
  ImmutableList<Integer> survivedCrashes(long nowNanos) {
    return crashes.since(nowNanos - MAX_AGE_NANOS).stream()
        .filter(this::isSurvived)
        .limit(MAX_REPORTED)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether crashes at the same moment have no common cause.
   *
   * @param nanosByCrash the times of the crashes by their identities
   * @param knownToKey whether a request with the key was at the upstream that crashed
   * @param nowNanos the current time
   */
  boolean areRuledOut(
      Map<Integer, Long> nanosByCrash, Predicate<Integer> knownToKey, long nowNanos) {
    Collection<Long> times = nanosByCrash.values();
    long firstNanos = times.stream().reduce((a, b) -> a - b <= 0 ? a : b).orElseThrow();
    long lastNanos = times.stream().reduce((a, b) -> a - b >= 0 ? a : b).orElseThrow();
    boolean othersCrashed =
        crashes.anyBetween(
            firstNanos - CrashRegister.MIN_SEPARATION_NANOS,
            lastNanos + CrashRegister.MIN_SEPARATION_NANOS,
            knownToKey.negate());
    return nowNanos - lastNanos >= MIN_AGE_NANOS
        && !othersCrashed
        && nanosByCrash.keySet().stream().allMatch(this::isSurvived);
  }

  /** Returns whether it can no longer be found out whether crashes had a common cause. */
  boolean isTooLate(long crashNanos, long nowNanos) {
    return nowNanos - crashNanos >= MAX_AGE_NANOS;
  }

  /** Returns whether a process in the failure domain of a crash lived through it. */
  private boolean isSurvived(int crash) {
    Long atNanos = crashes.nanosOf(crash);
    return survivedElsewhere.containsKey(crash)
        || (atNanos != null && hasSurvivor(domainByCrash.get(crash), atNanos));
  }

  /** Returns whether a process in a failure domain answered before and after a time. */
  private boolean hasSurvivor(String domain, long atNanos) {
    return domain != null
        && answerNanosByDomain.getOrDefault(domain, Map.of()).entrySet().stream()
            .anyMatch(
                answer ->
                    answer.getKey().openedNanos() - atNanos <= 0
                        && answer.getValue() - atNanos >= IN_FLIGHT_NANOS);
  }
}
