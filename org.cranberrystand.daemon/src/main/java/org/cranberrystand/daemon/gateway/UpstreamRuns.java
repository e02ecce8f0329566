package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletionStage;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Asks upstreams which requests they run.
 *
 * <p>Implementations make no decisions. Implementations are thread-safe; stages complete on any
 * thread.
 */
public interface UpstreamRuns {

  /** Creates clients. */
  @FunctionalInterface
  interface Factory {
    /**
     * Creates a client.
     *
     * @param fetch sends the calls
     * @return the client
     */
    UpstreamRuns open(HttpFetch fetch);
  }

  /**
   * A request that an upstream runs or ran up to some seconds ago.
   *
   * @param request the identifier of the request
   * @param eventCount the number of events that the upstream has made for it
   */
  record Run(String request, int eventCount) {}

  /**
   * The answer of an upstream.
   *
   * @param startedAtMillis the wall-clock time of the start of the process that answered, as in its
   *     registration; 0 if it does not say
   * @param runs the requests
   */
  record Report(long startedAtMillis, ImmutableList<Run> runs) {}

  /**
   * Asks an upstream.
   *
   * @param upstream the upstream
   * @return the answer; completes exceptionally if there is none
   */
  CompletionStage<Report> fetch(RegisteredUpstream upstream);
}
