package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.wire.http.ApiHeaders;

/** Derives the outcome of a request from its relayed stream. Stateless. */
final class StreamOutcome {
  private StreamOutcome() {}

  /** Returns the outcome of a relay that has ended. */
  static Outcome of(StreamRelay relay, boolean complete) {
    if (!complete) {
      return new Outcome.UpstreamFailed(0, "the answer broke off");
    }
    ImmutableMap<String, String> headers = ImmutableMap.of("Content-Type", ApiHeaders.EVENT_STREAM);
    return relay
        .recorded()
        .<Outcome>map(bytes -> new Outcome.Answered(new RecordedAnswer(200, headers, bytes)))
        .orElseGet(() -> new Outcome.AnsweredNotRetained(200));
  }
}
