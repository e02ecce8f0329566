package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.UrlEscapers;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.identity.ResumeReference;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemDocument;
import ratpack.exec.ExecController;
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.http.client.StreamedResponse;

/**
 * Passes requests on to other nodes and relays their answers.
 *
 * <p>The identifier, shop and deadline are in the query, which the authentication code covers. Safe
 * for use by several threads.
 */
final class PeerRequests {
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final String[] PASSED_HEADERS = {
    "Content-Type", "Retry-After", ApiHeaders.OUTCOME, ApiHeaders.UPSTREAM, ApiHeaders.RESUME
  };

  private final RequestRunner runner;
  private final PeerClient client;

  PeerRequests(RequestRunner runner, PeerClient client) {
    this.runner = runner;
    this.client = client;
  }

  /**
   * Has the issuer of an identifier run the request.
   *
   * @param request the request
   * @return the answer of the issuer; unknown if it cannot be reached, since the identifier may
   *     have been used before
   */
  CompletableFuture<Reply> forward(IncomingRequest request) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    Reply unknown =
        new Reply.Whole(new Outcome.OutcomeUnknown(UnknownCause.ISSUER_UNREACHABLE), null, null);
    Optional<MemberRecord> issuer = issuer(request.id());
    if (issuer.isEmpty()) {
      reply.complete(unknown);
      return reply;
    }
    EventLoop loop = Execution.current().getEventLoop();
    ExecController.require()
        .fork()
        .eventLoop(loop)
        .onError(cause -> reply.complete(unknown))
        .start(
            execution ->
                client.stream(
                        issuer.get().peerAddress(),
                        path("forward", request),
                        request.body().bytes(),
                        spec -> {})
                    .onError(cause -> reply.complete(unknown))
                    .then(response -> forwarded(request, response, reply, unknown)));
    return reply;
  }

  private void forwarded(
      IncomingRequest request,
      StreamedResponse response,
      CompletableFuture<Reply> reply,
      Reply unknown) {
    if (isStream(response)) {
      Optional<ResumeReference> reference = reference(response);
      EventSequence sequence = new EventSequence(request.idText(), 0);
      StreamRelay relay =
          runner.relay(StreamRelay.Retention.PASS, reference, sequence, count -> {});
      reply.complete(
          new Reply.Streamed(
              relay,
              response.getHeaders().get(ApiHeaders.UPSTREAM),
              response.getHeaders().get(ApiHeaders.RESUME)));
      relay.run(response).then(complete -> finish(relay, complete, request.idText()));
      return;
    }
    int status = response.getStatusCode();
    if (status == 401) {
      response.getBody().toList().onError(cause -> {}).then(ignored -> {});
      reply.complete(unknown);
      return;
    }
    ImmutableMap<String, String> headers = passedHeaders(response);
    BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
        .onError(cause -> reply.complete(unknown))
        .then(body -> reply.complete(new Reply.Passed(status, headers, new RequestBody(body))));
  }

  /** Ends a relay towards its caller. */
  void finish(StreamRelay relay, boolean complete, String requestId) {
    if (complete) {
      relay.complete();
    } else {
      runner.counters().addBroken();
      Outcome outcome = new Outcome.UpstreamFailed(0, "the answer broke off");
      relay.fail(ProblemDocument.of(outcome, true, requestId));
    }
  }

  /**
   * Hands a request over. This node does not dispatch it any more. Runs within the execution of the
   * request.
   *
   * @param running the request
   * @param node the node that takes it
   * @param onResumeReference receives the resume reference when there is one
   */
  void handOver(RunningRequest running, String node, Consumer<String> onResumeReference) {
    Outcome notRun = new Outcome.NotRun(NotRunReason.OVERLOADED, RETRY_AFTER_MILLIS);
    Optional<MemberRecord> member = runner.state().membership().get().find(node);
    if (member.isEmpty()) {
      running.end(notRun, null);
      return;
    }
    IncomingRequest request = running.request();
    Outcome lost = new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST);
    client.stream(
            member.get().peerAddress(),
            path("handover", request),
            request.body().bytes(),
            spec -> {})
        .onError(
            cause -> running.end(UpstreamHttpClient.isConnectFailure(cause) ? notRun : lost, null))
        .then(
            response -> {
              if (isStream(response)) {
                relayHandOver(running, response, onResumeReference);
              } else {
                collectHandOver(running, response);
              }
            });
  }

  private void relayHandOver(
      RunningRequest running, StreamedResponse response, Consumer<String> onResumeReference) {
    String idText = running.request().idText();
    Optional<ResumeReference> reference = reference(response);
    String resume = response.getHeaders().get(ApiHeaders.RESUME);
    String upstream = response.getHeaders().get(ApiHeaders.UPSTREAM);
    if (resume != null) {
      onResumeReference.accept(resume);
    }
    StreamRelay relay =
        runner.relay(
            StreamRelay.Retention.KEEP, reference, new EventSequence(idText, 0), count -> {});
    String streamId = reference.map(ResumeReference::streamId).orElse(null);
    String address =
        reference
            .flatMap(r -> runner.state().directory().get().find(r.upstream()))
            .map(record -> record.address())
            .orElse(null);
    running.startStream(
        new RunningStream(address, address == null ? null : streamId, relay),
        new Reply.Streamed(relay, upstream, resume));
    relay
        .run(response)
        .then(
            complete -> {
              runner.running().remove(running);
              running.end(StreamOutcome.of(relay, complete), upstream);
              finish(relay, complete, idText);
            });
  }

  private void collectHandOver(RunningRequest running, StreamedResponse response) {
    String upstream = response.getHeaders().get(ApiHeaders.UPSTREAM);
    BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
        .onError(
            cause -> running.end(new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST), upstream))
        .then(body -> running.end(HandOverResponseParser.parse(response, body), upstream));
  }

  /**
   * Cancels a request at the issuer of its identifier.
   *
   * @param id the identifier
   * @param idText its text form
   * @param shop the shop that cancels
   * @return whether the request was cancelled
   */
  Promise<Boolean> cancel(RequestId id, String idText, String shop) {
    Optional<MemberRecord> issuer = issuer(id);
    if (issuer.isEmpty()) {
      return Promise.value(false);
    }
    String path = "peer/v1/requests/" + idText + "?shop=" + escape(shop);
    return client
        .call(issuer.get().peerAddress(), "DELETE", path, new byte[0])
        .map(response -> response.getStatusCode() == 204)
        .mapError(cause -> false);
  }

  private Optional<MemberRecord> issuer(RequestId id) {
    return runner
        .state()
        .membership()
        .get()
        .find(id.issuer().node())
        .filter(record -> record.incarnation().equals(id.issuer().idText()));
  }

  private Optional<ResumeReference> reference(StreamedResponse response) {
    return Optional.ofNullable(response.getHeaders().get(ApiHeaders.RESUME))
        .flatMap(runner.resumeCodec()::decode);
  }

  private static boolean isStream(StreamedResponse response) {
    String type = response.getHeaders().get("Content-Type");
    // A recorded stream has a length and is passed through as a whole.
    return response.getStatusCode() == 200
        && type != null
        && type.startsWith(ApiHeaders.EVENT_STREAM)
        && response.getHeaders().get("Content-Length") == null;
  }

  private static ImmutableMap<String, String> passedHeaders(StreamedResponse response) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    for (String name : PASSED_HEADERS) {
      String value = response.getHeaders().get(name);
      if (value != null) {
        headers.put(name, value);
      }
    }
    return headers.build();
  }

  private static String path(String call, IncomingRequest request) {
    return "peer/v1/%s/%s?shop=%s&id=%s&deadline=%d"
        .formatted(
            call,
            escape(request.kind().name()),
            escape(request.shop().name()),
            escape(request.idText()),
            request.deadlineMillis());
  }

  private static String escape(String text) {
    return UrlEscapers.urlFormParameterEscaper().escape(text);
  }
}
