package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemDocument;
import ratpack.http.client.StreamedResponse;

/** Reads the outcome of a request that was handed over from the answer. Stateless. */
final class HandOverAnswer {
  private static final int CLIENT_ERROR = 4;

  private HandOverAnswer() {}

  static Outcome outcome(StreamedResponse response, byte[] body) {
    String label = response.getHeaders().get(ApiHeaders.OUTCOME);
    String type = response.getHeaders().get("Content-Type");
    int status = response.getStatusCode();
    if (label == null) {
      // Without an outcome the receiver refused the call itself, before it queued anything.
      return status / 100 == CLIENT_ERROR
          ? new Outcome.NotRun(NotRunReason.OVERLOADED, 0)
          : new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST);
    }
    return switch (label) {
      case "answered" -> new Outcome.Answered(new RecordedAnswer(status, headers(type), body));
      case "answer-not-retained" -> new Outcome.AnsweredNotRetained(200);
      case "not-run" -> notRun(body);
      case "upstream-failed" ->
          new Outcome.UpstreamFailed(0, "the upstream failed after a hand-over");
      default -> new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST);
    };
  }

  private static ImmutableMap<String, String> headers(String type) {
    return ImmutableMap.of("Content-Type", type == null ? "application/octet-stream" : type);
  }

  private static Outcome notRun(byte[] body) {
    try {
      ProblemDocument problem = Json.read(body, ProblemDocument.class);
      long retryAfter = problem.retryAfterMillis() == null ? 0 : problem.retryAfterMillis();
      for (NotRunReason reason : NotRunReason.values()) {
        if (reason.label().equals(problem.reason())) {
          return new Outcome.NotRun(reason, retryAfter);
        }
      }
      return new Outcome.NotRun(NotRunReason.OVERLOADED, retryAfter);
    } catch (IOException e) {
      return new Outcome.NotRun(NotRunReason.OVERLOADED, 0);
    }
  }
}
