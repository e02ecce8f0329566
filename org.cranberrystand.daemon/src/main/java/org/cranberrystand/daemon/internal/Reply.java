package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import org.cranberrystand.outcome.Outcome;

/** What a caller is told. */
sealed interface Reply {

  /**
   * The outcome of a request.
   *
   * @param outcome the outcome
   * @param upstream the upstream it was sent to; null if none
   * @param resumeReference where the answer can be read; null if nowhere
   */
  record Whole(Outcome outcome, String upstream, String resumeReference) implements Reply {}

  /**
   * An answer that is being streamed.
   *
   * @param relay the events
   * @param upstream the upstream that answers
   * @param resumeReference where the answer can be read; null if nowhere
   */
  record Streamed(StreamRelay relay, String upstream, String resumeReference) implements Reply {}

  /**
   * An answer of another node, passed through.
   *
   * @param status the HTTP status
   * @param headers the headers that are passed through
   * @param body the body
   */
  record Passed(int status, ImmutableMap<String, String> headers, RequestBody body)
      implements Reply {}
}
