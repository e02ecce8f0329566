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

/** The upstreams of one pool that this node uses, and the choice among them. Not thread-safe. */
final class EnginePool {
  /** Blocks that decide where a prefix is placed; later blocks belong to single requests. */
  private static final int PLACEMENT_BLOCKS = 4;

  /** Work by which the preferred engine of a prefix may exceed the least loaded one. */
  private static final double MAX_IMBALANCE_SECONDS = 0.3;

  /** Long work must keep more than one engine, or its guaranteed share cannot be served. */
  private static final double MAX_CLEAR_FRACTION = 0.75;

  private static final int MAX_RANKED_PREFIXES = 4_096;
  private static final double LONG_PER_ENGINE_FLEETWIDE = 2;
  private static final int LONG_PER_ENGINE = 1;

  /** Part of the time that an engine computes prompts under load, until a rate is measured. */
  private static final double ASSUMED_PREFILL_FRACTION = 0.5;

  /**
   * What a tier below its guaranteed share may use on top of the window, of the pending prefill and
   * of the long prefills. So its requests find a slot although more urgent work fills the window.
   */
  private static final double RESERVED_OVERDRAFT = 1.2;

  private static final double RESERVED_PREFILL = 4;
  private static final int RESERVED_LONG_PER_ENGINE = 2;

  /** An upstream for a request, with the figures that led to it. */
  record Choice(
      EngineState engine,
      int candidates,
      double cachedTokens,
      double workSeconds,
      double leastWorkSeconds) {}

  private record Candidate(EngineState engine, double cached, double work) {}

  private final SchedulerOptions options;
  private final WindowSettings settings;
  private final PrefixIndex prefixes;
  private final EjectionPolicy ejections;
  private final Map<String, EngineState> engines = new LinkedHashMap<>();
  private final List<EngineState> usable = new ArrayList<>();
  private final List<Candidate> candidates = new ArrayList<>();
  private final Map<Long, EngineState> preferred =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, EngineState> eldest) {
          return size() > MAX_RANKED_PREFIXES;
        }
      };
  private final Map<String, Integer> clearRank = new HashMap<>();
  private double fastestPrefill = 1;
  private double leastGapNanos;
  private double shortFraction = 1;
  private double minLongFraction;
  private int clearEngines;
  private int longPrefills;
  private double meanShare = 1;

  EnginePool(SchedulerOptions options, WindowSettings settings, PrefixIndex prefixes) {
    this.options = options;
    this.settings = settings;
    this.prefixes = prefixes;
    this.ejections = new EjectionPolicy(options.seed());
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

  EjectionPolicy ejections() {
    return ejections;
  }

  PrefixIndex prefixes() {
    return prefixes;
  }

  /** Replaces the upstreams; those that are still listed keep what was learned. */
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
    for (String gone : old.keySet()) {
      prefixes.forget(gone);
      ejections.forget(gone);
    }
    preferred.clear();
    clearRank.clear();
    engines.values().stream()
        .sorted(Comparator.comparingLong(EngineState::hash))
        .forEach(e -> clearRank.put(e.name(), clearRank.size()));
    refresh(nowNanos);
  }

  /** Recomputes what changes slowly: usable upstreams, ejections, fastest speeds. */
  void refresh(long nowNanos) {
    usable.clear();
    fastestPrefill = 1;
    leastGapNanos = Double.MAX_VALUE;
    double shares = 0;
    for (EngineState engine : engines.values()) {
      boolean ejection = options.has(SchedulerFeature.EJECTION);
      engine.setAdmittedFraction(
          ejection ? ejections.admittedFraction(engine.name(), nowNanos) : 1);
      if (engine.isUsable()) {
        usable.add(engine);
        shares += engine.usableShare();
        fastestPrefill = Math.max(fastestPrefill, engine.window().prefillTokensPerSecond());
        leastGapNanos = Math.min(leastGapNanos, engine.window().tokenGapMillis() * 1e6);
      }
    }
    meanShare = usable.isEmpty() ? 1 : shares / usable.size();
    clearEngines =
        options.has(SchedulerFeature.CLEAR_ENGINES)
            ? Math.min(engines.size() - 1, (int) (engines.size() * clearFraction()))
            : 0;
  }

  private double clearFraction() {
    return Math.min(1 - minLongFraction, Math.min(MAX_CLEAR_FRACTION, shortFraction));
  }

  /** Lets all windows follow their observations; returns whether one grew. */
  boolean adjust(long nowNanos) {
    boolean grew = false;
    for (EngineState engine : engines.values()) {
      grew |= engine.window().adjust(engine.usableShare(), nowNanos);
    }
    refresh(nowNanos);
    return grew;
  }

  /** Sets the part of the upstreams that guaranteed shares of long work need. */
  void setMinLongFraction(double value) {
    minLongFraction = Math.min(1, value);
  }

  /** Sets the part of the recent prefill demand that comes from short prompts. */
  void setShortFraction(double value) {
    shortFraction = value;
  }

  /** Returns how many requests may be started now over all upstreams. */
  int freeSlots() {
    int result = 0;
    for (EngineState engine : usable) {
      if (!engine.isReservedForSuspect()) {
        result += engine.window().freeSequences(engine.usableShare());
      }
    }
    return result;
  }

  int usableCount() {
    return usable.size();
  }

  /** Returns the first-token delay that the fastest upstream would have without load. */
  long leastFirstTokenNanos(WorkItem item) {
    return usable.isEmpty()
        ? 0
        : (long) (item.promptTokens() / fastestPrefill * 1e9 + leastGapNanos);
  }

  /** Returns a rough rate at which this node may dispatch work, in tokens per second. */
  double assumedRate() {
    double result = 0;
    for (EngineState engine : usable) {
      result +=
          engine.usableShare()
              * engine.window().prefillTokensPerSecond()
              * ASSUMED_PREFILL_FRACTION;
    }
    return result;
  }

  void addLongPrefill(EngineState engine, int change) {
    engine.addLongPrefills(change);
    longPrefills = Math.max(0, longPrefills + change);
  }

  /**
   * Chooses an upstream with room for a request, or returns null.
   *
   * <p>Among the upstreams whose work exceeds the least by a bounded amount, the one with the most
   * of the prompt in its cache is chosen; if there is none, the one that all nodes prefer for the
   * prefix.
   *
   * @param reserved whether the request may use the slots reserved for guaranteed shares
   */
  Choice choose(QueuedItem queued, boolean reserved, long nowNanos) {
    int maxLong = reserved ? RESERVED_LONG_PER_ENGINE : LONG_PER_ENGINE;

    if (queued.isLongPrefill() && !isLongPrefillAllowed(maxLong)) {
      return null;
    }
    double leastWork = collect(queued, reserved, maxLong, clearEngines, nowNanos);
    Candidate best = best(queued.item(), leastWork);
    return best == null
        ? null
        : new Choice(best.engine(), candidates.size(), best.cached(), best.work(), leastWork);
  }

  /** Collects the upstreams with room for a request; returns the least work among them. */
  private double collect(
      QueuedItem queued, boolean reserved, int maxLong, int clear, long nowNanos) {
    candidates.clear();
    double leastWork = Double.MAX_VALUE;
    for (EngineState engine : usable) {
      if (!isAllowed(engine, queued, maxLong, clear)) {
        continue;
      }
      double share = engine.usableShare() * (reserved ? RESERVED_OVERDRAFT : 1);
      if (!engine.window().hasFreeSequence(share, nowNanos)) {
        // Checked first, since looking up the prefix costs more than all the rest.
        continue;
      }
      double cached = cachedTokens(engine, queued.item());
      double prefill = queued.item().promptTokens() - cached;
      if (engine
          .window()
          .admits(share, prefill, queued.cost(), reserved ? RESERVED_PREFILL : 1, nowNanos)) {
        double work = work(engine, prefill, queued.outputTokens());
        candidates.add(new Candidate(engine, cached, work));
        leastWork = Math.min(leastWork, work);
      }
    }
    return leastWork;
  }

  private Candidate best(WorkItem item, double leastWork) {
    EngineState favourite = preferred(item.prefixBlocks());
    Candidate best = null;
    double bestValue = 0;
    for (Candidate candidate : candidates) {
      if (favourite != null && candidate.work() > leastWork + MAX_IMBALANCE_SECONDS) {
        continue;
      }
      double value = candidate.cached() + (candidate.engine() == favourite ? 1 : 0);
      if (best == null
          || value > bestValue
          || (value >= bestValue && candidate.work() < best.work())) {
        best = candidate;
        bestValue = value;
      }
    }
    return best;
  }

  private double work(EngineState engine, double prefill, double output) {
    if (!options.has(SchedulerFeature.SPEED_AWARENESS)) {
      return engine.window().ownSequences();
    }
    return engine.window().workSeconds(engine.usableShare(), prefill, output);
  }

  private double cachedTokens(EngineState engine, WorkItem item) {
    if (item.prefixBlocks().isEmpty() || !options.has(SchedulerFeature.PREFIX_PLACEMENT)) {
      return 0;
    }
    double tokens =
        prefixes.cachedBlocks(engine.name(), item.prefixBlocks()) * options.blockTokens();
    return Math.min(tokens, Math.max(0, item.promptTokens() - 1));
  }

  private EngineState preferred(ImmutableLongArray blocks) {
    if (blocks.isEmpty() || engines.isEmpty() || !options.has(SchedulerFeature.PREFIX_PLACEMENT)) {
      return null;
    }
    long key = blocks.get(Math.min(PLACEMENT_BLOCKS, blocks.length()) - 1);
    EngineState known = preferred.get(key);
    if (known != null) {
      return known;
    }
    EngineState best = null;
    long bestScore = Long.MIN_VALUE;
    for (EngineState engine : engines.values()) {
      long score = RendezvousHash.score(key, engine.hash());
      if (best == null || Long.compareUnsigned(score, bestScore) > 0) {
        best = engine;
        bestScore = score;
      }
    }
    preferred.put(key, best);
    return best;
  }

  private boolean isLongPrefillAllowed(int maxLong) {
    if (!options.has(SchedulerFeature.LONG_PREFILL_LIMIT)) {
      return true;
    }
    double engineCount = Math.max(1, usable.size() - clearEngines);
    return longPrefills
        < Math.max(1, Math.round(meanShare * maxLong * LONG_PER_ENGINE_FLEETWIDE * engineCount));
  }

  private boolean isAllowed(EngineState engine, QueuedItem queued, int maxLong, int clear) {
    // A request that its only upstream refused would otherwise block the queue until its deadline.
    boolean refused = usable.size() > 1 && engine.name().equals(queued.refusedBy());
    if (refused || engine.isReservedForSuspect()) {
      return false;
    }
    if (!queued.isLongPrefill()) {
      return true;
    }
    return clearRank.getOrDefault(engine.name(), 0) >= clear
        && (engine.longPrefills() < maxLong || !options.has(SchedulerFeature.LONG_PREFILL_LIMIT));
  }

  /** Chooses an upstream for a suspect: an idle one, or none while one is being emptied. */
  EngineState isolated(String node) {
    EngineState best = null;
    boolean emptying = false;
    for (EngineState engine : usable) {
      boolean idle = engine.window().ownSequences() == 0;
      emptying |= engine.isReservedForSuspect() && !engine.isRunningSuspect();
      if (idle && (best == null || isBetter(node, engine, best))) {
        best = engine;
      }
    }
    if (best == null && !emptying) {
      usable.stream()
          .min(Comparator.comparingInt(e -> e.window().ownSequences()))
          .ifPresent(e -> e.setReservedForSuspect(true));
    }
    return best;
  }

  private static boolean isBetter(String node, EngineState engine, EngineState other) {
    // Nodes prefer different upstreams, so suspects of different nodes rarely meet.
    if (engine.isReservedForSuspect() != other.isReservedForSuspect()) {
      return engine.isReservedForSuspect();
    }
    long key = RendezvousHash.hash(node);
    return Long.compareUnsigned(
            RendezvousHash.score(key, engine.hash()), RendezvousHash.score(key, other.hash()))
        > 0;
  }

  /** Ends the reservation of upstreams that were being emptied for suspects that are gone. */
  void releaseEmptied() {
    for (EngineState engine : engines.values()) {
      engine.setReservedForSuspect(engine.isRunningSuspect());
    }
  }
}
