package org.cranberrystand.bench.policy;

import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamRecord;

/** Simulated upstream: a model engine or a plain service. */
interface SimUpstream {
  UpstreamRecord record();

  /** Accepts a request regardless of the load. */
  void accept(SimRequest request);

  /** Cancels a request. */
  void cancel(SimRequest request);

  /** Multiplies the duration of all later steps or calls by a factor. */
  void slowDown(double factor);

  LoadReport loadReport(long nowNanos);

  /** Returns the changes of the prefix cache since the last call. */
  PrefixCache.Changes takeCacheChanges();

  /** Returns the cost in tokens of all accepted requests that have not ended. */
  long admittedTokens();
}
