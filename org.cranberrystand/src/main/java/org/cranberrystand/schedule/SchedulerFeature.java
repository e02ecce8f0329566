package org.cranberrystand.schedule;

/** Parts of the dispatch policy that can be disabled, to compare results with and without each. */
public enum SchedulerFeature {
  /** Engine windows adapt to observed latencies; otherwise they keep their initial size. */
  ADAPTIVE_WINDOWS,
  /** Each node uses its share of an engine's window; otherwise each node uses the whole window. */
  SHARES,
  /** In a large fleet, each node uses a subset of the engines. */
  SUBSETS,
  /** More urgent tiers are served first; otherwise all requests share one tier. */
  TIERS,
  /** Queued work of less urgent tiers is evicted before more urgent work is shed. */
  EVICTION,
  /** An urgent request is handed over to a peer, at most once, instead of being shed. */
  HAND_OVER,
  /** Requests that cannot meet their deadline are rejected when they arrive. */
  EARLY_REJECTION,
  /** Each tier keeps its guaranteed share of the dispatched tokens. */
  GUARANTEED_SHARES,
  /** Less urgent tiers leave slots free for the recent peak of urgent work. */
  URGENT_HEADROOM,
  /**
   * Teams are served by weighted fair queueing; otherwise each tier is first-come, first-served.
   */
  FAIR_QUEUEING,
  /** Fair queueing also charges teams for their service on other nodes. */
  PEER_FAIRNESS,
  /** The number of concurrent long prefills is limited. */
  LONG_PREFILL_LIMIT,
  /** Some engines are kept free of long prefills. */
  CLEAR_ENGINES,
  /** Requests are placed on engines that probably have their prefix cached. */
  PREFIX_PLACEMENT,
  /** The prefix index follows the cache events of the engines. */
  CACHE_EVENTS,
  /** Engines are compared by estimated seconds of work; otherwise by running requests. */
  SPEED_AWARENESS,
  /** Suspect content runs alone on an engine and is quarantined after a second crash. */
  POISON_ISOLATION,
  /** Retries after refusals are limited by a budget. */
  RETRY_BUDGET,
  /** Upstreams that fail repeatedly are ejected for a time. */
  EJECTION
}
