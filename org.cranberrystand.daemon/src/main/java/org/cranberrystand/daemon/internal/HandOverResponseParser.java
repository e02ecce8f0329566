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

/** Derives the outcome of a handed-over request from the response of the other node. Stateless. */
final class HandOverResponseParser {
  private static final int CLIENT_ERROR_CLASS = 4;

  private HandOverResponseParser() {}

  static Outcome parse(StreamedResponse response, byte[] body) {
    String outcomeLabel = response.getHeaders().get(ApiHeaders.OUTCOME);
    String contentType = response.getHeaders().get("Content-Type");
    int status = response.getStatusCode();
    if (outcomeLabel == null) {
      // A client error without an outcome header means that the receiver rejected the call before
      // it queued the request.
      return status / 100 == CLIENT_ERROR_CLASS
          ? new Outcome.NotRun(NotRunReason.OVERLOADED, 0)
          : new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST);
    }
    return switch (outcomeLabel) {
      case "answered" ->
          new Outcome.Answered(new RecordedAnswer(status, contentTypeHeader(contentType), body));
      case "answer-not-retained" -> new Outcome.AnsweredNotRetained(200);
      case "not-run" -> parseNotRun(body);
      case "upstream-failed" ->
          new Outcome.UpstreamFailed(0, "the upstream failed after a hand-over");
      default -> new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST);
    };
  }

  private static ImmutableMap<String, String> contentTypeHeader(String contentType) {
    return ImmutableMap.of(
        "Content-Type", contentType == null ? "application/octet-stream" : contentType);
  }

  private static Outcome parseNotRun(byte[] body) {
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
