package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.time.Duration;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.upstream.UpstreamRecord;
import ratpack.http.Headers;
import ratpack.http.client.StreamedResponse;

/** One dispatch of a request to a plain service. Confined to the execution of the request. */
final class PlainCall {
  // A late request still gets a little time, since the scheduler let it pass.
  private static final long MIN_SILENCE_MILLIS = 500;

  private final RequestRunner runner;
  private final RequestExecution execution;
  private final UpstreamRecord upstream;

  PlainCall(RequestRunner runner, RequestExecution execution, UpstreamRecord upstream) {
    this.runner = runner;
    this.execution = execution;
    this.upstream = upstream;
  }

  /** Sends the request. */
  void send() {
    IncomingRequest request = execution.request();
    long limit = runner.state().settings().limits().upstreamTimeoutMillis();
    long silence = Math.min(limit, Math.max(MIN_SILENCE_MILLIS, execution.remainingMillis()));
    String path = "v1/" + request.kind().name();
    runner
        .engines()
        .post(upstream, path, request.body(), request.idText(), Duration.ofMillis(silence))
        .onError(this::failed)
        .then(this::received);
  }

  private void failed(Throwable cause) {
    if (UpstreamHttpClient.isConnectFailure(cause)) {
      execution.refused(false, 0);
    } else {
      broken(cause);
    }
  }

  private void broken(Throwable cause) {
    if (execution.mayRepeat()) {
      execution.repeat(cause);
    } else {
      execution.broken(upstream, cause);
    }
  }

  private void received(StreamedResponse response) {
    int status = response.getStatusCode();
    boolean refusal = runner.isRefusal(upstream, response);
    long delay = RetryAfter.parseMillis(response.getHeaders().get("Retry-After"));
    String type = response.getHeaders().get("Content-Type");
    boolean framed = isFramed(response.getHeaders());
    BodyCollector.collect(response, runner.state().settings().limits().maxBodyBytes())
        .onError(
            cause -> {
              if (refusal) {
                execution.refused(true, delay);
              } else {
                broken(cause);
              }
            })
        .then(
            body -> {
              if (refusal) {
                execution.refused(true, delay);
              } else if (!framed) {
                broken(new IOException("the end of the answer cannot be told from a break"));
              } else {
                answered(status, type, body);
              }
            });
  }

  private static boolean isFramed(Headers headers) {
    return headers.contains("Content-Length") || headers.contains("Transfer-Encoding");
  }

  private void answered(int status, String type, byte[] body) {
    // Redirects are not followed, since the request would be sent a second time.
    if (status >= 500 || status / 100 == 3) {
      execution.finished(false);
      String detail = "the service answered with an error";
      execution.end(new Outcome.UpstreamFailed(status, detail), upstream);
      return;
    }
    execution.finished(true);
    ImmutableMap<String, String> headers =
        ImmutableMap.of("Content-Type", type == null ? "application/octet-stream" : type);
    execution.end(new Outcome.Answered(new RecordedAnswer(status, headers, body)), upstream);
  }
}
