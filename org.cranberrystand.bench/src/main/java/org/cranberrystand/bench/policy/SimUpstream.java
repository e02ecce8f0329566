package org.cranberrystand.bench.policy;

import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamRecord;

/** Simulated upstream. */
interface SimUpstream {
  UpstreamRecord record();

  /** Takes a request, whatever the load is. */
  void accept(SimRequest request);

  /** Ends a request early. */
  void cancel(SimRequest request);

  /** Multiplies all durations from the next step or call on. */
  void slowDown(double factor);

  LoadReport loadReport(long nowNanos);

  /** Returns the changes of the prefix cache since the last call. */
  PrefixCache.Changes takeCacheChanges();

  /** Returns the cost in tokens of all requests that were accepted and have not ended. */
  long admittedTokens();
}
