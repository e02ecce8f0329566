package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import org.cranberrystand.outcome.Outcome;

/** Reply to the caller of a request. */
sealed interface Reply {

  /**
   * The final outcome of a request, sent in one piece.
   *
   * @param outcome the outcome
   * @param upstream the name of the upstream that got the request; null if none
   * @param resumeReference the resume reference of the answer; null if it cannot be resumed
   */
  record Buffered(Outcome outcome, String upstream, String resumeReference) implements Reply {}

  /**
   * An answer that is streamed while it is produced.
   *
   * @param relay publishes the events
   * @param upstream the name of the upstream that produces the answer
   * @param resumeReference the resume reference of the answer; null if it cannot be resumed
   */
  record Streamed(StreamRelay relay, String upstream, String resumeReference) implements Reply {}

  /**
   * A buffered HTTP response of another node that is relayed unchanged.
   *
   * @param status the HTTP status
   * @param headers the relayed headers
   * @param body the body
   */
  record Proxied(int status, ImmutableMap<String, String> headers, RequestBody body)
      implements Reply {}
}
