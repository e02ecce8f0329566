package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.time.Duration;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.upstream.UpstreamRecord;
import ratpack.http.Headers;
import ratpack.http.client.StreamedResponse;

/** Dispatches a request to a plain service once. Confined to the execution of the request. */
final class ServiceCall {
  // The scheduler may dispatch a request shortly before its deadline; the service then still gets
  // a usable time to respond.
  private static final long MIN_READ_TIMEOUT_MILLIS = 500;

  private final RequestRunner runner;
  private final RequestExecution execution;
  private final UpstreamRecord upstream;

  ServiceCall(RequestRunner runner, RequestExecution execution, UpstreamRecord upstream) {
    this.runner = runner;
    this.execution = execution;
    this.upstream = upstream;
  }

  /** Sends the request. */
  void send() {
    IncomingRequest request = execution.request();
    long maxTimeoutMillis = runner.state().settings().limits().upstreamTimeoutMillis();
    long readTimeoutMillis =
        Math.min(maxTimeoutMillis, Math.max(MIN_READ_TIMEOUT_MILLIS, execution.remainingMillis()));
    String path = "v1/" + request.kind().name();
    runner
        .engineClient()
        .post(
            upstream, path, request.body(), request.idText(), Duration.ofMillis(readTimeoutMillis))
        .onError(this::handleFailure)
        .then(this::handleResponse);
  }

  private void handleFailure(Throwable cause) {
    if (UpstreamHttpClient.isConnectFailure(cause)) {
      execution.handleRefusal(false, 0);
    } else {
      handleBrokenConnection(cause);
    }
  }

  private void handleBrokenConnection(Throwable cause) {
    if (execution.mayRetry()) {
      execution.retry(cause);
    } else {
      execution.handleBrokenCall(upstream, cause);
    }
  }

  private void handleResponse(StreamedResponse response) {
    int status = response.getStatusCode();
    boolean refused = runner.isRefusal(upstream, response);
    long retryAfterMillis = RetryAfter.parseMillis(response.getHeaders().get("Retry-After"));
    String contentType = response.getHeaders().get("Content-Type");
    boolean delimited = isDelimited(response.getHeaders());
    BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
        .onError(
            cause -> {
              if (refused) {
                execution.handleRefusal(true, retryAfterMillis);
              } else {
                handleBrokenConnection(cause);
              }
            })
        .then(
            body -> {
              if (refused) {
                execution.handleRefusal(true, retryAfterMillis);
              } else if (!delimited) {
                handleBrokenConnection(
                    new IOException(
                        "response without Content-Length or Transfer-Encoding may be truncated"));
              } else {
                handleAnswer(status, contentType, body);
              }
            });
  }

  private static boolean isDelimited(Headers headers) {
    return headers.contains("Content-Length") || headers.contains("Transfer-Encoding");
  }

  private void handleAnswer(int status, String contentType, byte[] body) {
    // A redirect counts as a failure: following it would send the request a second time.
    if (status >= 500 || status / 100 == 3) {
      execution.reportFinished(false);
      String detail = "the service answered with an error";
      execution.end(new Outcome.UpstreamFailed(status, detail), upstream);
      return;
    }
    execution.reportFinished(true);
    ImmutableMap<String, String> headers =
        ImmutableMap.of(
            "Content-Type", contentType == null ? "application/octet-stream" : contentType);
    execution.end(new Outcome.Answered(new RecordedAnswer(status, headers, body)), upstream);
  }
}
