package org.cranberrystand.schedule;

import java.util.HashSet;
import java.util.Set;
import org.cranberrystand.placement.RendezvousHash;
import org.cranberrystand.upstream.EngineWindow;
import org.cranberrystand.upstream.UpstreamRecord;

/** State that this node keeps for one upstream. Not thread-safe. */
final class EngineState {
  private final String name;
  private final long nameHash;
  private final EngineWindow window;
  private final Set<String> crashSuspects = new HashSet<>();
  private final Set<Long> runningKeys = new HashSet<>();
  private UpstreamRecord upstream;
  private double share = 1;
  private double admittedFraction = 1;
  private int longPrefillCount;
  private boolean reservedForSuspect;
  private boolean runningSuspect;
  private long lastCrashNanos;

  EngineState(UpstreamRecord upstream, EngineWindow window) {
    this.name = upstream.name();
    this.nameHash = RendezvousHash.hash(name);
    this.upstream = upstream;
    this.window = window;
  }

  String name() {
    return name;
  }

  long nameHash() {
    return nameHash;
  }

  EngineWindow window() {
    return window;
  }

  UpstreamRecord upstream() {
    return upstream;
  }

  void setUpstream(UpstreamRecord value) {
    upstream = value;
  }

  /** Returns the keys of the requests of this node that run on the upstream. */
  Set<Long> runningKeys() {
    return runningKeys;
  }

  /** Returns the part of the window that this node may use now. */
  double usableShare() {
    return share * admittedFraction;
  }

  void setShare(double value) {
    share = value;
  }

  double admittedFraction() {
    return admittedFraction;
  }

  void setAdmittedFraction(double value) {
    admittedFraction = value;
  }

  boolean isUsable() {
    return !upstream.leaving() && !window.isDraining() && admittedFraction > 0;
  }

  int longPrefillCount() {
    return longPrefillCount;
  }

  void adjustLongPrefills(int delta) {
    longPrefillCount = Math.max(0, longPrefillCount + delta);
  }

  boolean isReservedForSuspect() {
    return reservedForSuspect;
  }

  void setReservedForSuspect(boolean value) {
    reservedForSuspect = value;
  }

  boolean isRunningSuspect() {
    return runningSuspect;
  }

  void setRunningSuspect(boolean value) {
    runningSuspect = value;
    reservedForSuspect = value;
  }

  /** Returns the digests of running contents that were already suspect at the last crash. */
  Set<String> crashSuspects() {
    return crashSuspects;
  }

  long lastCrashNanos() {
    return lastCrashNanos;
  }

  void setLastCrashNanos(long value) {
    lastCrashNanos = value;
  }

  SchedulerStatistics.UpstreamStatistics statistics(String pool) {
    return new SchedulerStatistics.UpstreamStatistics(
        name,
        pool,
        window.windowSequences(),
        Math.round(window.windowTokens()),
        usableShare(),
        window.ownSequences(),
        Math.round(window.ownTokens()),
        Math.round(window.prefillTokensPerSecond()),
        window.tokenGapMillis(),
        admittedFraction <= 0,
        upstream.leaving() || window.isDraining());
  }
}
