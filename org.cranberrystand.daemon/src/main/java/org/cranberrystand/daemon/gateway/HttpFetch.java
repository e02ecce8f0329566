package org.cranberrystand.daemon.gateway;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/**
 * Reads resources of the store and of other nodes by HTTP.
 *
 * <p>Every call opens a connection of its own: calls are rare, and a kept connection may have gone
 * silent. Safe for use by several threads.
 */
public final class HttpFetch implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 32 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private final ExecController exec;
  private final HttpClient client;

  /**
   * An answer.
   *
   * @param status the status
   * @param body the body
   */
  public record Answer(int status, String body) {}

  /**
   * Creates a client.
   *
   * @param exec runs the calls
   * @throws Exception if the client cannot be created
   */
  public HttpFetch(ExecController exec) throws Exception {
    this.exec = exec;
    this.client =
        HttpClient.of(
            spec ->
                spec.execController(exec)
                    .useJdkAddressResolver()
                    .poolSize(0)
                    .maxContentLength(MAX_BODY_BYTES)
                    .connectTimeout(CONNECT_TIMEOUT));
  }

  /**
   * Reads a resource.
   *
   * @param uri where it is
   * @param timeout the longest silence
   * @return the answer, or the failure to get one
   */
  public CompletionStage<Answer> get(URI uri, Duration timeout) {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    exec.fork()
        .onError(answer::completeExceptionally)
        .start(
            execution ->
                client
                    .get(uri, request -> request.readTimeout(timeout))
                    .then(
                        response ->
                            answer.complete(
                                new Answer(
                                    response.getStatusCode(),
                                    response.getBody().getText(StandardCharsets.UTF_8)))));
    return answer;
  }

  @Override
  public void close() {
    client.close();
  }
}
