package org.cranberrystand.schedule;

/** Parts of the dispatch policy that can be switched off to measure what each of them achieves. */
public enum SchedulerFeature {
  /** Engine windows follow observations; without it they keep their initial size. */
  ADAPTIVE_WINDOWS,
  /** A node uses its share of each engine; without it each node uses the whole window. */
  SHARES,
  /** With many nodes each uses a subset of the engines. */
  SUBSETS,
  /** More urgent work goes first; without it all tiers count as one. */
  TIERS,
  /** Queued work of lower tiers is evicted before work of a higher tier is shed. */
  EVICTION,
  /** An urgent request is handed over once before it is shed. */
  HAND_OVER,
  /** Requests that cannot meet their deadline are rejected when they arrive. */
  EARLY_REJECTION,
  /** Each tier keeps its guaranteed share of the dispatched tokens. */
  GUARANTEED_SHARES,
  /** Lower tiers leave room for the recent demand of urgent work. */
  URGENT_HEADROOM,
  /** Teams are served fairly by tokens; without it each tier is served in order of arrival. */
  FAIR_QUEUEING,
  /** Service that a team gets on other nodes counts. */
  PEER_FAIRNESS,
  /** The number of concurrent long prefills is limited. */
  LONG_PREFILL_LIMIT,
  /** Some engines are kept clear of long prefill. */
  CLEAR_ENGINES,
  /** Requests go where their prefix is probably cached. */
  PREFIX_PLACEMENT,
  /** Cache events of the engines are used. */
  CACHE_EVENTS,
  /** Engines are compared in seconds of work; without it by the number of running requests. */
  SPEED_AWARENESS,
  /** Suspect content runs isolated and is quarantined after its second crash. */
  POISON_ISOLATION,
  /** Retries after refusals are limited by a budget. */
  RETRY_BUDGET,
  /** Upstreams that fail repeatedly are ejected for a time. */
  EJECTION
}
