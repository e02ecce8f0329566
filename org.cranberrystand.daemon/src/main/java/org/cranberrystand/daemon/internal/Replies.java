package org.cranberrystand.daemon.internal;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.ProblemType;
import ratpack.handling.Context;
import ratpack.http.MutableHeaders;
import ratpack.http.Response;

/** Writes replies, outcomes and problem documents. Stateless. */
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

  /**
   * Sends a reply to a request.
   *
   * @param ctx the exchange
   * @param request the request
   * @param reply the reply
   */
  static void reply(Context ctx, IncomingRequest request, Reply reply) {
    MutableHeaders headers = ctx.getResponse().getHeaders();
    if (reply instanceof Reply.Whole whole) {
      setDispatchHeaders(headers, whole.upstream(), whole.resumeReference());
      outcome(ctx, whole.outcome(), request.kind().isRepeatable(), request.idText());
    } else if (reply instanceof Reply.Streamed streamed) {
      setDispatchHeaders(headers, streamed.upstream(), streamed.resumeReference());
      stream(ctx, streamed.relay());
    } else if (reply instanceof Reply.Passed passed) {
      passed.headers().forEach(headers::set);
      ctx.getResponse().status(passed.status());
      ctx.getResponse().send(passed.body().bytes());
    }
  }

  /**
   * Sends an answer as it arrives.
   *
   * @param ctx the exchange
   * @param relay the events
   */
  static void stream(Context ctx, StreamRelay relay) {
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    relay.setAbort(
        () ->
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
    ctx.getResponse().getHeaders().set(ApiHeaders.OUTCOME, "answered");
    ctx.getResponse().contentType(ApiHeaders.EVENT_STREAM);
    // To a caller that closes the connection, Ratpack would send a body that ends with it, and a
    // broken answer would look like a complete one.
    ctx.getResponse().getHeaders().set("Transfer-Encoding", "chunked");
    ctx.getResponse().sendStream(relay);
  }

  private static void setDispatchHeaders(
      MutableHeaders headers, String upstream, String resumeReference) {
    if (upstream != null) {
      headers.set(ApiHeaders.UPSTREAM, upstream);
    }
    if (resumeReference != null) {
      headers.set(ApiHeaders.RESUME, resumeReference);
    }
  }

  private static void answer(Context ctx, RecordedAnswer answer) {
    Response response = ctx.getResponse();
    answer.headers().forEach((name, value) -> response.getHeaders().set(name, value));
    response.status(answer.status());
    response.send(answer.body());
  }
}
