package org.cranberrystand.schedule;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.placement.PrefixIndex;
import org.cranberrystand.placement.RendezvousHash;
import org.cranberrystand.upstream.EjectionPolicy;
import org.cranberrystand.upstream.EngineWindow;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.upstream.WindowSettings;

/** Selects upstreams for requests among those of one pool that this node uses. Not thread-safe. */
final class EnginePool {
  /**
   * Leading prompt blocks that determine the preferred engine; later blocks differ from request to
   * request.
   */
  private static final int PLACEMENT_BLOCKS = 4;

  /** Work by which the selected engine may exceed the least loaded one. */
  private static final double MAX_IMBALANCE_SECONDS = 0.3;

  /**
   * Largest part of the engines that take only short prompts; a single engine for long prompts
   * could not serve their guaranteed share.
   */
  private static final double MAX_SHORT_PROMPT_ENGINE_FRACTION = 0.75;

  private static final int MAX_PREFERRED_PREFIXES = 4_096;
  private static final double MAX_LONG_PREFILLS_PER_ENGINE_FLEETWIDE = 2;
  private static final int MAX_LONG_PREFILLS_PER_ENGINE = 1;

  /**
   * Part of its time that a loaded engine is assumed to spend on prefill, until a drain rate is
   * known.
   */
  private static final double ASSUMED_PREFILL_FRACTION = 0.5;

  /**
   * Limits for requests within a guaranteed share: factors on the window and on the pending
   * prefill, and a number of long prefills. They exceed the usual limits, so that such requests are
   * admitted although more urgent work fills the window.
   */
  private static final double GUARANTEED_WINDOW_FACTOR = 1.2;

  private static final double GUARANTEED_PREFILL_FACTOR = 4;
  private static final int GUARANTEED_LONG_PREFILLS_PER_ENGINE = 2;

  /** The upstream selected for a request, with the figures behind the selection. */
  record Placement(
      EngineState engine,
      int candidates,
      double cachedTokens,
      double workSeconds,
      double minWorkSeconds) {}

  private record Candidate(EngineState engine, double cachedTokens, double workSeconds) {}

  private final SchedulerOptions options;
  private final WindowSettings settings;
  private final PrefixIndex prefixIndex;
  private final EjectionPolicy ejectionPolicy;
  private final Map<String, EngineState> engines = new LinkedHashMap<>();
  private final List<EngineState> usableEngines = new ArrayList<>();
  private final List<Candidate> candidates = new ArrayList<>();
  private final Map<Long, EngineState> preferredByPrefix =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, EngineState> eldest) {
          return size() > MAX_PREFERRED_PREFIXES;
        }
      };
  private final Map<String, Integer> shortPromptRank = new HashMap<>();
  private double maxPrefillTokensPerSecond = 1;
  private double minTokenGapNanos;
  private double shortPrefillFraction = 1;
  private double minLongPromptEngineFraction;
  private int shortPromptEngines;
  private int longPrefillCount;
  private double meanUsableShare = 1;

  EnginePool(SchedulerOptions options, WindowSettings settings, PrefixIndex prefixIndex) {
    this.options = options;
    this.settings = settings;
    this.prefixIndex = prefixIndex;
    this.ejectionPolicy = new EjectionPolicy(options.seed());
  }

  Collection<EngineState> engines() {
    return engines.values();
  }

  /** Returns an upstream, or null if this node does not use it. */
  EngineState find(String name) {
    return engines.get(name);
  }

  boolean isEmpty() {
    return engines.isEmpty();
  }

  EjectionPolicy ejectionPolicy() {
    return ejectionPolicy;
  }

  PrefixIndex prefixIndex() {
    return prefixIndex;
  }

  /** Replaces the upstreams; those that remain keep their windows and other state. */
  void update(Collection<UpstreamRecord> records, long nowNanos) {
    Map<String, EngineState> old = new HashMap<>(engines);
    engines.clear();
    for (UpstreamRecord record : records) {
      EngineState engine = old.remove(record.name());
      if (engine == null) {
        engine = new EngineState(record, new EngineWindow(settings, nowNanos));
      }
      engine.setUpstream(record);
      engines.put(record.name(), engine);
    }
    for (String removed : old.keySet()) {
      prefixIndex.removeEngine(removed);
      ejectionPolicy.forget(removed);
    }
    preferredByPrefix.clear();
    shortPromptRank.clear();
    engines.values().stream()
        .sorted(Comparator.comparingLong(EngineState::nameHash))
        .forEach(e -> shortPromptRank.put(e.name(), shortPromptRank.size()));
    refresh(nowNanos);
  }

  /** Recomputes the usable upstreams, ejections, maximum speeds and the limits on long prefills. */
  void refresh(long nowNanos) {
    usableEngines.clear();
    maxPrefillTokensPerSecond = 1;
    minTokenGapNanos = Double.MAX_VALUE;
    double shareSum = 0;
    for (EngineState engine : engines.values()) {
      boolean ejection = options.has(SchedulerFeature.EJECTION);
      engine.setAdmittedFraction(
          ejection ? ejectionPolicy.admittedFraction(engine.name(), nowNanos) : 1);
      if (engine.isUsable()) {
        usableEngines.add(engine);
        shareSum += engine.usableShare();
        maxPrefillTokensPerSecond =
            Math.max(maxPrefillTokensPerSecond, engine.window().prefillTokensPerSecond());
        minTokenGapNanos = Math.min(minTokenGapNanos, engine.window().tokenGapMillis() * 1e6);
      }
    }
    meanUsableShare = usableEngines.isEmpty() ? 1 : shareSum / usableEngines.size();
    shortPromptEngines =
        options.has(SchedulerFeature.CLEAR_ENGINES)
            ? Math.min(engines.size() - 1, (int) (engines.size() * shortPromptEngineFraction()))
            : 0;
  }

  private double shortPromptEngineFraction() {
    return Math.min(
        1 - minLongPromptEngineFraction,
        Math.min(MAX_SHORT_PROMPT_ENGINE_FRACTION, shortPrefillFraction));
  }

  /** Adjusts all windows to the observed latencies; returns whether any window grew. */
  boolean adjustWindows(long nowNanos) {
    boolean grew = false;
    for (EngineState engine : engines.values()) {
      grew |= engine.window().adjust(engine.usableShare(), nowNanos);
    }
    refresh(nowNanos);
    return grew;
  }

  /** Sets the part of the upstreams that the guaranteed shares of long prompts need. */
  void setMinLongPromptEngineFraction(double value) {
    minLongPromptEngineFraction = Math.min(1, value);
  }

  /** Sets the part of the recent prefill tokens that short prompts account for. */
  void setShortPrefillFraction(double value) {
    shortPrefillFraction = value;
  }

  /** Returns how many more requests this node may run now on all upstreams together. */
  int freeSlots() {
    int result = 0;
    for (EngineState engine : usableEngines) {
      if (!engine.isReservedForSuspect()) {
        result += engine.window().freeSequences(engine.usableShare());
      }
    }
    return result;
  }

  int usableCount() {
    return usableEngines.size();
  }

  /** Returns the time to first token at the best prefill rate and token gap of the upstreams. */
  long minFirstTokenNanos(WorkItem item) {
    return usableEngines.isEmpty()
        ? 0
        : (long) (item.promptTokens() / maxPrefillTokensPerSecond * 1e9 + minTokenGapNanos);
  }

  /** Returns a rough estimate of the rate at which this node can dispatch work. */
  double estimatedTokensPerSecond() {
    double result = 0;
    for (EngineState engine : usableEngines) {
      result +=
          engine.usableShare()
              * engine.window().prefillTokensPerSecond()
              * ASSUMED_PREFILL_FRACTION;
    }
    return result;
  }

  void adjustLongPrefills(EngineState engine, int delta) {
    engine.adjustLongPrefills(delta);
    longPrefillCount = Math.max(0, longPrefillCount + delta);
  }

  /**
   * Selects an upstream that can admit a request, or returns null if there is none.
   *
   * <p>Among the upstreams whose work is at most {@link #MAX_IMBALANCE_SECONDS} above the least,
   * the one with the most cached prompt tokens is selected. If none has cached any, this is the
   * engine that all nodes prefer for the prefix by rendezvous hashing, and else the one with the
   * least work.
   *
   * @param guaranteed whether the request is within the guaranteed share of its tier, which raises
   *     the limits
   */
  Placement choose(QueuedItem queued, boolean guaranteed, long nowNanos) {
    int maxLongPrefills =
        guaranteed ? GUARANTEED_LONG_PREFILLS_PER_ENGINE : MAX_LONG_PREFILLS_PER_ENGINE;

    if (queued.isLongPrefill() && !isLongPrefillAllowed(maxLongPrefills)) {
      return null;
    }
    double minWorkSeconds =
        collectCandidates(queued, guaranteed, maxLongPrefills, shortPromptEngines, nowNanos);
    Candidate best = bestCandidate(queued.item(), minWorkSeconds);
    return best == null
        ? null
        : new Placement(
            best.engine(),
            candidates.size(),
            best.cachedTokens(),
            best.workSeconds(),
            minWorkSeconds);
  }

  /** Collects the upstreams that can admit a request; returns the least work among them. */
  private double collectCandidates(
      QueuedItem queued,
      boolean guaranteed,
      int maxLongPrefills,
      int shortPromptEngineCount,
      long nowNanos) {
    candidates.clear();
    double minWorkSeconds = Double.MAX_VALUE;
    for (EngineState engine : usableEngines) {
      if (!isAllowed(engine, queued, maxLongPrefills, shortPromptEngineCount)) {
        continue;
      }
      double share = engine.usableShare() * (guaranteed ? GUARANTEED_WINDOW_FACTOR : 1);
      if (!engine.window().hasFreeSequence(share, nowNanos)) {
        // Checked before the prefix lookup, which costs more than all other checks.
        continue;
      }
      double cachedTokens = cachedTokens(engine, queued.item());
      double prefillTokens = queued.item().promptTokens() - cachedTokens;
      if (engine
          .window()
          .admits(
              share,
              prefillTokens,
              queued.costTokens(),
              guaranteed ? GUARANTEED_PREFILL_FACTOR : 1,
              nowNanos)) {
        double workSeconds = estimateWork(engine, prefillTokens, queued.expectedOutputTokens());
        candidates.add(new Candidate(engine, cachedTokens, workSeconds));
        minWorkSeconds = Math.min(minWorkSeconds, workSeconds);
      }
    }
    return minWorkSeconds;
  }

  private Candidate bestCandidate(WorkItem item, double minWorkSeconds) {
    EngineState preferred = preferredEngine(item.prefixBlocks());
    Candidate best = null;
    double bestScore = 0;
    for (Candidate candidate : candidates) {
      if (preferred != null && candidate.workSeconds() > minWorkSeconds + MAX_IMBALANCE_SECONDS) {
        continue;
      }
      double score = candidate.cachedTokens() + (candidate.engine() == preferred ? 1 : 0);
      if (best == null
          || score > bestScore
          || (score >= bestScore && candidate.workSeconds() < best.workSeconds())) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  private double estimateWork(EngineState engine, double prefillTokens, double outputTokens) {
    if (!options.has(SchedulerFeature.SPEED_AWARENESS)) {
      return engine.window().ownSequences();
    }
    return engine.window().workSeconds(engine.usableShare(), prefillTokens, outputTokens);
  }

  private double cachedTokens(EngineState engine, WorkItem item) {
    if (item.prefixBlocks().isEmpty() || !options.has(SchedulerFeature.PREFIX_PLACEMENT)) {
      return 0;
    }
    double tokens =
        prefixIndex.cachedBlocks(engine.name(), item.prefixBlocks()) * options.blockTokens();
    return Math.min(tokens, Math.max(0, item.promptTokens() - 1));
  }

  private EngineState preferredEngine(ImmutableLongArray blocks) {
    if (blocks.isEmpty() || engines.isEmpty() || !options.has(SchedulerFeature.PREFIX_PLACEMENT)) {
      return null;
    }
    long key = blocks.get(Math.min(PLACEMENT_BLOCKS, blocks.length()) - 1);
    EngineState cached = preferredByPrefix.get(key);
    if (cached != null) {
      return cached;
    }
    EngineState best = null;
    long bestScore = Long.MIN_VALUE;
    for (EngineState engine : engines.values()) {
      long score = RendezvousHash.score(key, engine.nameHash());
      if (best == null || Long.compareUnsigned(score, bestScore) > 0) {
        best = engine;
        bestScore = score;
      }
    }
    preferredByPrefix.put(key, best);
    return best;
  }

  private boolean isLongPrefillAllowed(int maxPerEngine) {
    if (!options.has(SchedulerFeature.LONG_PREFILL_LIMIT)) {
      return true;
    }
    double engineCount = Math.max(1, usableEngines.size() - shortPromptEngines);
    return longPrefillCount
        < Math.max(
            1,
            Math.round(
                meanUsableShare
                    * maxPerEngine
                    * MAX_LONG_PREFILLS_PER_ENGINE_FLEETWIDE
                    * engineCount));
  }

  private boolean isAllowed(
      EngineState engine, QueuedItem queued, int maxLongPrefills, int shortPromptEngineCount) {
    // A single upstream is tried again, since the request would otherwise block the queue until its
    // deadline.
    boolean refused = usableEngines.size() > 1 && engine.name().equals(queued.refusedBy());
    if (refused || engine.isReservedForSuspect()) {
      return false;
    }
    if (!queued.isLongPrefill()) {
      return true;
    }
    return shortPromptRank.getOrDefault(engine.name(), 0) >= shortPromptEngineCount
        && (engine.longPrefillCount() < maxLongPrefills
            || !options.has(SchedulerFeature.LONG_PREFILL_LIMIT));
  }

  /**
   * Returns an idle upstream for suspect content, or null.
   *
   * <p>If no upstream is idle, the one with the fewest requests is reserved, so that it becomes
   * idle.
   */
  EngineState selectForSuspect(String node) {
    EngineState best = null;
    boolean draining = false;
    for (EngineState engine : usableEngines) {
      boolean idle = engine.window().ownSequences() == 0;
      draining |= engine.isReservedForSuspect() && !engine.isRunningSuspect();
      if (idle && (best == null || isPreferredForSuspect(node, engine, best))) {
        best = engine;
      }
    }
    if (best == null && !draining) {
      usableEngines.stream()
          .min(Comparator.comparingInt(e -> e.window().ownSequences()))
          .ifPresent(e -> e.setReservedForSuspect(true));
    }
    return best;
  }

  private static boolean isPreferredForSuspect(String node, EngineState engine, EngineState other) {
    // Nodes prefer different upstreams, so that they rarely isolate suspects on the same one.
    if (engine.isReservedForSuspect() != other.isReservedForSuspect()) {
      return engine.isReservedForSuspect();
    }
    long key = RendezvousHash.hash(node);
    return Long.compareUnsigned(
            RendezvousHash.score(key, engine.nameHash()),
            RendezvousHash.score(key, other.nameHash()))
        > 0;
  }

  /** Ends the reservations of upstreams that run no suspect. */
  void releaseUnusedReservations() {
    for (EngineState engine : engines.values()) {
      engine.setReservedForSuspect(engine.isRunningSuspect());
    }
  }
}
