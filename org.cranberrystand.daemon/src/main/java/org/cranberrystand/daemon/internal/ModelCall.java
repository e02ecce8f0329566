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

/** One dispatch of a request to an engine. Confined to the execution of the request. */
final class ModelCall {
  private static final String JSON = "application/json";

  private final RequestRunner runner;
  private final RequestExecution execution;
  private final UpstreamRecord upstream;

  ModelCall(RequestRunner runner, RequestExecution execution, UpstreamRecord upstream) {
    this.runner = runner;
    this.execution = execution;
    this.upstream = upstream;
  }

  /** Sends the request. */
  void send() {
    IncomingRequest request = execution.request();
    Duration silence =
        Duration.ofMillis(runner.state().settings().limits().upstreamTimeoutMillis());
    runner
        .engineClient()
        .post(upstream, "v1/completions", request.body(), request.idText(), silence)
        .onError(this::failed)
        .then(this::received);
  }

  private void failed(Throwable cause) {
    if (EngineClient.isConnectFailure(cause)) {
      execution.handleRefusal(false, 0);
    } else {
      execution.handleBrokenCall(upstream, cause);
    }
  }

  private void received(StreamedResponse response) {
    String type = response.getHeaders().get("Content-Type");
    boolean isEvents = type != null && type.startsWith(ApiHeaders.EVENT_STREAM);
    if (runner.isRefusal(upstream, response)) {
      long delay = RetryAfter.parseMillis(response.getHeaders().get("Retry-After"));
      drain(response, () -> execution.handleRefusal(true, delay));
    } else if (response.getStatusCode() != 200) {
      String detail = "the engine answered with an error";
      drain(response, () -> failedAtUpstream(response.getStatusCode(), detail));
    } else if (execution.request().isStreamed() != isEvents) {
      drain(response, () -> failedAtUpstream(200, "the answer has an unexpected type"));
    } else if (isEvents) {
      relay(response);
    } else {
      execution.reportStarted();
      BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
          .onError(this::brokeOff)
          .then(this::whole);
    }
  }

  private void drain(StreamedResponse response, Runnable next) {
    BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
        .onError(cause -> next.run())
        .then(ignored -> next.run());
  }

  private void failedAtUpstream(int status, String detail) {
    execution.reportFinished(false);
    execution.end(new Outcome.UpstreamFailed(status, detail), upstream);
  }

  private void brokeOff(Throwable cause) {
    execution.reportConnectionBroken();
    execution.end(new Outcome.UpstreamFailed(0, "the answer broke off"), upstream);
  }

  private void whole(byte[] body) {
    if (!belongs(body)) {
      runner.counters().addDropped(1);
      failedAtUpstream(200, "the answer belongs to another request");
      return;
    }
    execution.reportFinished(true);
    ImmutableMap<String, String> headers = ImmutableMap.of("Content-Type", JSON);
    execution.end(new Outcome.Answered(new RecordedAnswer(200, headers, body)), upstream);
  }

  private boolean belongs(byte[] body) {
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
    relay.run(response).then(complete -> ended(relay, complete));
  }

  private void ended(StreamRelay relay, boolean complete) {
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
