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

/** Writes replies, outcomes and problem documents to HTTP responses. Stateless. */
public final class Replies {
  private Replies() {}

  /**
   * Sends a problem document.
   *
   * @param ctx the HTTP exchange
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
   * Sends a problem document of a given type.
   *
   * @param ctx the HTTP exchange
   * @param type the type of the problem
   * @param detail describes this occurrence; may be null
   */
  public static void problem(Context ctx, ProblemType type, String detail) {
    problem(ctx, ProblemDocument.of(type, detail));
  }

  /**
   * Sends the outcome of a request.
   *
   * @param ctx the HTTP exchange
   * @param outcome the outcome
   * @param repeatable whether requests of this kind may be sent again under a new identifier
   * @param requestId the identifier of the request; may be null
   */
  public static void outcome(Context ctx, Outcome outcome, boolean repeatable, String requestId) {
    ctx.getResponse().getHeaders().set(ApiHeaders.OUTCOME, outcome.label());
    if (outcome instanceof Outcome.Answered answered) {
      recordedAnswer(ctx, answered.answer());
    } else {
      problem(ctx, ProblemDocument.of(outcome, repeatable, requestId));
    }
  }

  /**
   * Sends a reply to a request.
   *
   * @param ctx the HTTP exchange
   * @param request the request
   * @param reply the reply
   */
  static void reply(Context ctx, IncomingRequest request, Reply reply) {
    MutableHeaders headers = ctx.getResponse().getHeaders();
    if (reply instanceof Reply.Buffered buffered) {
      setDispatchHeaders(headers, buffered.upstream(), buffered.resumeReference());
      outcome(ctx, buffered.outcome(), request.kind().isRepeatable(), request.idText());
    } else if (reply instanceof Reply.Streamed streamed) {
      setDispatchHeaders(headers, streamed.upstream(), streamed.resumeReference());
      stream(ctx, streamed.relay());
    } else if (reply instanceof Reply.Proxied proxied) {
      proxied.headers().forEach(headers::set);
      ctx.getResponse().status(proxied.status());
      ctx.getResponse().send(proxied.body().bytes());
    }
  }

  /**
   * Streams a response while its events arrive.
   *
   * @param ctx the HTTP exchange
   * @param relay publishes the events
   */
  static void stream(Context ctx, StreamRelay relay) {
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    relay.setAbort(
        () ->
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
    ctx.getResponse().getHeaders().set(ApiHeaders.OUTCOME, "answered");
    ctx.getResponse().contentType(ApiHeaders.EVENT_STREAM);
    // Without this, Ratpack delimits the body by the end of the connection if the caller does not
    // keep the connection alive, and a truncated response would look complete.
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

  private static void recordedAnswer(Context ctx, RecordedAnswer answer) {
    Response response = ctx.getResponse();
    answer.headers().forEach((name, value) -> response.getHeaders().set(name, value));
    response.status(answer.status());
    response.send(answer.body());
  }
}
