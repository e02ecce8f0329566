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
 * Forwards requests to other nodes, hands requests over and relays the responses.
 *
 * <p>The identifier, shop and deadline are query parameters, since the authentication code covers
 * the query but no headers. Safe for use by several threads.
 */
final class PeerRequests {
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final String[] RELAYED_HEADERS = {
    "Content-Type", "Retry-After", ApiHeaders.OUTCOME, ApiHeaders.UPSTREAM, ApiHeaders.RESUME
  };

  private final RequestRunner runner;
  private final PeerClient client;

  PeerRequests(RequestRunner runner, PeerClient client) {
    this.runner = runner;
    this.client = client;
  }

  /**
   * Forwards a request to the node that issued its identifier.
   *
   * @param request the request
   * @return the reply of the issuer; an unknown outcome if the issuer cannot be reached, since the
   *     identifier may have been used before
   */
  CompletableFuture<Reply> forward(IncomingRequest request) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    Reply issuerUnreachable =
        new Reply.Buffered(new Outcome.OutcomeUnknown(UnknownCause.ISSUER_UNREACHABLE), null, null);
    Optional<MemberRecord> issuer = findIssuer(request.id());
    if (issuer.isEmpty()) {
      reply.complete(issuerUnreachable);
      return reply;
    }
    EventLoop loop = Execution.current().getEventLoop();
    ExecController.require()
        .fork()
        .eventLoop(loop)
        .onError(cause -> reply.complete(issuerUnreachable))
        .start(
            execution ->
                client.stream(
                        issuer.get().peerAddress(),
                        requestPath("forward", request),
                        request.body().bytes(),
                        spec -> {})
                    .onError(cause -> reply.complete(issuerUnreachable))
                    .then(response -> relayForwarded(request, response, reply, issuerUnreachable)));
    return reply;
  }

  private void relayForwarded(
      IncomingRequest request,
      StreamedResponse response,
      CompletableFuture<Reply> reply,
      Reply issuerUnreachable) {
    if (isStream(response)) {
      Optional<ResumeReference> reference = resumeReference(response);
      EventSequence sequence = new EventSequence(request.idText(), 0);
      StreamRelay relay =
          runner.createRelay(StreamRelay.Retention.NONE, reference, sequence, count -> {});
      reply.complete(
          new Reply.Streamed(
              relay,
              response.getHeaders().get(ApiHeaders.UPSTREAM),
              response.getHeaders().get(ApiHeaders.RESUME)));
      relay.run(response).then(complete -> endRelay(relay, complete, request.idText()));
      return;
    }
    int status = response.getStatusCode();
    if (status == 401) {
      response.getBody().toList().onError(cause -> {}).then(ignored -> {});
      reply.complete(issuerUnreachable);
      return;
    }
    ImmutableMap<String, String> headers = relayedHeaders(response);
    BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
        .onError(cause -> reply.complete(issuerUnreachable))
        .then(body -> reply.complete(new Reply.Proxied(status, headers, new RequestBody(body))));
  }

  /** Completes a relay, or fails it if the response is incomplete. */
  void endRelay(StreamRelay relay, boolean complete, String requestId) {
    if (complete) {
      relay.complete();
    } else {
      runner.counters().addBroken();
      Outcome outcome = new Outcome.UpstreamFailed(0, "the answer broke off");
      relay.fail(ProblemDocument.of(outcome, true, requestId));
    }
  }

  /**
   * Hands a request over to another node; this node must not dispatch it afterwards. Must be called
   * within the execution of the request.
   *
   * @param running the request
   * @param node the name of the node that takes over
   * @param onResumeReference receives the resume reference if there is one
   */
  void handOver(RunningRequest running, String node, Consumer<String> onResumeReference) {
    Outcome notRun = new Outcome.NotRun(NotRunReason.OVERLOADED, RETRY_AFTER_MILLIS);
    Optional<MemberRecord> member = runner.state().membership().get().find(node);
    if (member.isEmpty()) {
      running.end(notRun, null);
      return;
    }
    IncomingRequest request = running.request();
    Outcome handOverLost = new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST);
    client.stream(
            member.get().peerAddress(),
            requestPath("handover", request),
            request.body().bytes(),
            spec -> {})
        .onError(
            cause ->
                running.end(
                    UpstreamHttpClient.isConnectFailure(cause) ? notRun : handOverLost, null))
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
    Optional<ResumeReference> reference = resumeReference(response);
    String resume = response.getHeaders().get(ApiHeaders.RESUME);
    String upstream = response.getHeaders().get(ApiHeaders.UPSTREAM);
    if (resume != null) {
      onResumeReference.accept(resume);
    }
    StreamRelay relay =
        runner.createRelay(
            StreamRelay.Retention.RECORD, reference, new EventSequence(idText, 0), count -> {});
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
              runner.runningRequests().remove(running);
              running.end(StreamOutcome.of(relay, complete), upstream);
              endRelay(relay, complete, idText);
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
   * @param idText the text form of the identifier
   * @param shop the name of the shop that cancels
   * @return whether the request was cancelled
   */
  Promise<Boolean> cancel(RequestId id, String idText, String shop) {
    Optional<MemberRecord> issuer = findIssuer(id);
    if (issuer.isEmpty()) {
      return Promise.value(false);
    }
    String path = "peer/v1/requests/" + idText + "?shop=" + escape(shop);
    return client
        .call(issuer.get().peerAddress(), "DELETE", path, new byte[0])
        .map(response -> response.getStatusCode() == 204)
        .mapError(cause -> false);
  }

  private Optional<MemberRecord> findIssuer(RequestId id) {
    return runner
        .state()
        .membership()
        .get()
        .find(id.issuer().node())
        .filter(record -> record.incarnation().equals(id.issuer().idText()));
  }

  private Optional<ResumeReference> resumeReference(StreamedResponse response) {
    return Optional.ofNullable(response.getHeaders().get(ApiHeaders.RESUME))
        .flatMap(runner.resumeCodec()::decode);
  }

  private static boolean isStream(StreamedResponse response) {
    String type = response.getHeaders().get("Content-Type");
    // A recorded stream has a Content-Length and is relayed as a buffered response.
    return response.getStatusCode() == 200
        && type != null
        && type.startsWith(ApiHeaders.EVENT_STREAM)
        && response.getHeaders().get("Content-Length") == null;
  }

  private static ImmutableMap<String, String> relayedHeaders(StreamedResponse response) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    for (String name : RELAYED_HEADERS) {
      String value = response.getHeaders().get(name);
      if (value != null) {
        headers.put(name, value);
      }
    }
    return headers.build();
  }

  private static String requestPath(String call, IncomingRequest request) {
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
