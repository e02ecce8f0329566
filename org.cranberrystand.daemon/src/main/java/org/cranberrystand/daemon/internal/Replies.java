package org.cranberrystand.daemon.internal;

import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.ProblemType;
import ratpack.handling.Context;
import ratpack.http.Response;

/** Writes outcomes and problem documents. Stateless. */
public final class Replies {
  private Replies() {}

  /**
   * Sends a problem document.
   *
   * @param ctx the exchange
   * @param problem the document
   */
  public static void problem(Context ctx, ProblemDocument problem) {
    Response response = ctx.getResponse();
    if (problem.retryAfterSeconds() != null) {
      response.getHeaders().set("Retry-After", problem.retryAfterSeconds());
    }
    response.status(problem.status());
    response.send(ApiHeaders.PROBLEM_JSON, Json.toText(problem));
  }

  /**
   * Sends a problem document without refinement.
   *
   * @param ctx the exchange
   * @param type the type
   * @param detail what happened in this case
   */
  public static void problem(Context ctx, ProblemType type, String detail) {
    problem(ctx, ProblemDocument.of(type, detail));
  }

  /**
   * Sends the outcome of a request.
   *
   * @param ctx the exchange
   * @param outcome the outcome
   * @param repeatable whether the kind of work may be sent again under a fresh identifier
   * @param requestId the identifier of the request; may be null
   */
  public static void outcome(Context ctx, Outcome outcome, boolean repeatable, String requestId) {
    ctx.getResponse().getHeaders().set(ApiHeaders.OUTCOME, outcome.label());
    if (outcome instanceof Outcome.Answered answered) {
      answer(ctx, answered.answer());
    } else {
      problem(ctx, ProblemDocument.of(outcome, repeatable, requestId));
    }
  }

  private static void answer(Context ctx, RecordedAnswer answer) {
    Response response = ctx.getResponse();
    answer.headers().forEach((name, value) -> response.getHeaders().set(name, value));
    response.status(answer.status());
    response.send(answer.body());
  }
}
