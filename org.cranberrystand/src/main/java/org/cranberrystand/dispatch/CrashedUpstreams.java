package org.cranberrystand.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cranberrystand.util.BoundedMap;

/**
 * Tells the crashes of upstreams apart. Not thread-safe.
 *
 * <p>An upstream may start again under its identifier before its registration says so, or while no
 * registration can be read. Then all its crashes have the same incarnation key. A connection
 * belongs to one run of a process, so one that was opened after a crash was lost with another
 * crash.
 */
final class CrashedUpstreams {
  static final int MAX_CRASHES = 4_096;

  /**
   * A process that ends may accept connections for a moment, and other nodes learn of the time of
   * its crash with the delay of a report.
   */
  private static final long SAME_CRASH_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final Map<Integer, Long> nanosByCrash = new BoundedMap<>(MAX_CRASHES);

  /**
   * Returns the identity of the crash that ended a connection, which is the same at all nodes.
   *
   * @param incarnation the key of the incarnation of the upstream, as it is registered
   * @param connectedNanos when the connection was opened
   * @param atNanos when it was lost
   */
  int crashOf(String incarnation, long connectedNanos, long atNanos) {
    int crash = next(incarnation, connectedNanos);
    add(crash, atNanos);
    return crash;
  }

  /** Returns the identity of the first crash after a connection was opened. */
  private int next(String incarnation, long connectedNanos) {
    int start = 0;
    while (isKnownBefore(identity(incarnation, start), connectedNanos)) {
      start++;
    }
    return identity(incarnation, start);
  }

  private boolean isKnownBefore(int crash, long connectedNanos) {
    Long known = nanosByCrash.get(crash);
    return known != null && connectedNanos - known > SAME_CRASH_NANOS;
  }

  /** The identity of the first crash is that of the incarnation, as earlier builds have it. */
  private static int identity(String incarnation, int start) {
    return start == 0 ? incarnation.hashCode() : (incarnation + '/' + start).hashCode();
  }

  /** Returns the identity of the first crash of an incarnation. */
  static int firstCrashOf(String incarnation) {
    return identity(incarnation, 0);
  }

  /** Returns whether a crash is known that happened within a time and is one of those sought. */
  boolean anyBetween(long fromNanos, long toNanos, Predicate<Integer> sought) {
    return nanosByCrash.entrySet().stream()
        .filter(crash -> crash.getValue() - fromNanos >= 0 && crash.getValue() - toNanos <= 0)
        .anyMatch(crash -> sought.test(crash.getKey()));
  }

  /** Returns the crashes that are known since a time, the ones recorded last first. */
  List<Integer> since(long fromNanos) {
    List<Integer> recent =
        nanosByCrash.entrySet().stream()
            .filter(crash -> crash.getValue() - fromNanos >= 0)
            .map(Map.Entry::getKey)
            .collect(Collectors.toCollection(ArrayList::new));
    Collections.reverse(recent);
    return recent;
  }

  /** Returns when a crash happened; null if it is not known. */
  Long nanosOf(int crash) {
    return nanosByCrash.get(crash);
  }

  /** Records a crash that this or another node has identified. */
  void add(int crash, long atNanos) {
    nanosByCrash.putIfAbsent(crash, atNanos);
  }

  /**
   * Returns whether a crash is known that ended a connection about when it was closed, or later.
   */
  boolean hasCrashed(String incarnation, long connectedNanos, long closedNanos) {
    Long known = nanosByCrash.get(next(incarnation, connectedNanos));
    return known != null && known - closedNanos >= -SAME_CRASH_NANOS;
  }
}
