package org.cranberrystand.daemon.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.cranberrystand.identity.ResumeReference;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemDocument;
import ratpack.http.client.StreamedResponse;

/**
 * Sends one request to an engine and relays the answer. Confined to the execution of the request.
 */
final class ModelCall {
  private static final String JSON_CONTENT_TYPE = "application/json";

  private final RequestRunner runner;
  private final RequestExecution execution;
  private final UpstreamRecord upstream;

  ModelCall(RequestRunner runner, RequestExecution execution, UpstreamRecord upstream) {
    this.runner = runner;
    this.execution = execution;
    this.upstream = upstream;
  }

  /** Sends the request and handles its response. */
  void send() {
    IncomingRequest request = execution.request();
    Duration readTimeout =
        Duration.ofMillis(runner.state().settings().limits().upstreamTimeoutMillis());
    runner
        .engineClient()
        .post(upstream, "v1/completions", request.body(), request.idText(), readTimeout)
        .onError(this::handleConnectionFailure)
        .then(this::handleResponse);
  }

  private void handleConnectionFailure(Throwable cause) {
    if (UpstreamHttpClient.isConnectFailure(cause)) {
      execution.handleRefusal(false, 0);
    } else {
      execution.handleBrokenCall(upstream, cause);
    }
  }

  private void handleResponse(StreamedResponse response) {
    String contentType = response.getHeaders().get("Content-Type");
    boolean isEventStream = contentType != null && contentType.startsWith(ApiHeaders.EVENT_STREAM);
    if (runner.isRefusal(upstream, response)) {
      long retryAfterMillis = RetryAfter.parseMillis(response.getHeaders().get("Retry-After"));
      discardBody(response, () -> execution.handleRefusal(true, retryAfterMillis));
    } else if (response.getStatusCode() != 200) {
      String detail = "the engine answered with an error";
      discardBody(response, () -> endWithUpstreamFailure(response.getStatusCode(), detail));
    } else if (execution.request().isStreamed() != isEventStream) {
      discardBody(response, () -> endWithUpstreamFailure(200, "the answer has an unexpected type"));
    } else if (isEventStream) {
      relay(response);
    } else {
      execution.reportStarted();
      BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
          .onError(this::handleBrokenBody)
          .then(this::handleCompleteBody);
    }
  }

  /** Reads the rest of a response, then runs an action also if the body cannot be read. */
  private void discardBody(StreamedResponse response, Runnable next) {
    BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
        .onError(cause -> next.run())
        .then(ignored -> next.run());
  }

  private void endWithUpstreamFailure(int status, String detail) {
    execution.reportFinished(false);
    execution.end(new Outcome.UpstreamFailed(status, detail), upstream);
  }

  private void handleBrokenBody(Throwable cause) {
    execution.reportConnectionBroken();
    execution.end(new Outcome.UpstreamFailed(0, "the answer broke off"), upstream);
  }

  private void handleCompleteBody(byte[] body) {
    if (!isForRequest(body)) {
      runner.counters().addDropped(1);
      endWithUpstreamFailure(200, "the answer belongs to another request");
      return;
    }
    execution.reportFinished(true);
    ImmutableMap<String, String> headers = ImmutableMap.of("Content-Type", JSON_CONTENT_TYPE);
    execution.end(new Outcome.Answered(new RecordedAnswer(200, headers, body)), upstream);
  }

  private boolean isForRequest(byte[] body) {
    try {
      JsonNode tree = Json.readTree(body);
      return tree != null && execution.request().idText().equals(tree.path("request").textValue());
    } catch (IOException e) {
      return false;
    }
  }

  private void relay(StreamedResponse response) {
    execution.reportStarted();
    IncomingRequest request = execution.request();
    String streamId = response.getHeaders().get(ApiHeaders.STREAM_ID);
    Optional<String> reference = runner.resumeReference(upstream, streamId, request);
    reference.ifPresent(execution.onResumeReference());
    Optional<ResumeReference> resumable =
        reference.isEmpty()
            ? Optional.empty()
            : Optional.of(
                new ResumeReference(
                    upstream.name(), streamId, request.idText(), request.shop().name()));
    EventSequence sequence = new EventSequence(request.idText(), 0);
    StreamRelay relay =
        runner.createRelay(
            StreamRelay.Retention.RECORD, resumable, sequence, execution::reportTokens);
    execution
        .running()
        .startStream(
            new RunningStream(upstream.address(), streamId, relay),
            new Reply.Streamed(relay, upstream.name(), reference.orElse(null)));
    relay.run(response).then(complete -> handleStreamEnd(relay, complete));
  }

  private void handleStreamEnd(StreamRelay relay, boolean complete) {
    runner.runningRequests().remove(execution.running());
    if (!complete) {
      runner.counters().addBroken();
      if (relay.suggestsCrash()) {
        execution.reportConnectionBroken();
      } else {
        execution.reportFinished(false);
      }
      Outcome outcome = new Outcome.UpstreamFailed(0, "the answer broke off");
      execution.end(outcome, upstream);
      relay.fail(ProblemDocument.of(outcome, true, execution.request().idText()));
      return;
    }
    execution.reportFinished(true);
    execution.end(StreamOutcome.of(relay, true), upstream);
    relay.complete();
  }
}
