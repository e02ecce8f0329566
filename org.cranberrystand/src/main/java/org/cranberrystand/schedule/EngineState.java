package org.cranberrystand.schedule;

import java.util.HashSet;
import java.util.Set;
import org.cranberrystand.placement.RendezvousHash;
import org.cranberrystand.upstream.EngineWindow;
import org.cranberrystand.upstream.UpstreamRecord;

/** One upstream as used by this node. Not thread-safe. */
final class EngineState {
  private final String name;
  private final long hash;
  private final EngineWindow window;
  private final Set<String> crashSuspects = new HashSet<>();
  private final Set<Long> running = new HashSet<>();
  private UpstreamRecord upstream;
  private double share = 1;
  private double admittedFraction = 1;
  private int longPrefills;
  private boolean reservedForSuspect;
  private boolean runningSuspect;
  private long lastCrashNanos;

  EngineState(UpstreamRecord upstream, EngineWindow window) {
    this.name = upstream.name();
    this.hash = RendezvousHash.hash(name);
    this.upstream = upstream;
    this.window = window;
  }

  String name() {
    return name;
  }

  long hash() {
    return hash;
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

  /** Returns the keys of the requests of this node that run here. */
  Set<Long> running() {
    return running;
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

  int longPrefills() {
    return longPrefills;
  }

  void addLongPrefills(int change) {
    longPrefills = Math.max(0, longPrefills + change);
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

  /** Returns the contents that were suspect already when the upstream crashed last. */
  Set<String> crashSuspects() {
    return crashSuspects;
  }

  long lastCrashNanos() {
    return lastCrashNanos;
  }

  void setLastCrashNanos(long value) {
    lastCrashNanos = value;
  }

  SchedulerStatistics.UpstreamFigures figures(String pool) {
    return new SchedulerStatistics.UpstreamFigures(
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
