package org.cranberrystand.daemon.gateway;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import ratpack.exec.ExecController;
import ratpack.http.Headers;
import ratpack.http.client.HttpClient;

/**
 * HTTP client for the store and other nodes.
 *
 * <p>Each request opens its own connection, because requests are rare and a pooled connection may
 * be dead without notice. Thread-safe.
 */
public final class HttpFetch implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 32 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private final ExecController exec;
  private final HttpClient client;

  /**
   * A response.
   *
   * @param status the HTTP status code
   * @param headers the response headers
   * @param body the response body
   */
  public record Response(int status, Headers headers, String body) {}

  /**
   * Creates a client.
   *
   * @param exec executes the requests
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
   * Sends a GET request.
   *
   * @param uri the URI of the resource
   * @param timeout the read timeout
   * @return a stage with the response; completes exceptionally if there is none
   */
  public CompletionStage<Response> get(URI uri, Duration timeout) {
    CompletableFuture<Response> result = new CompletableFuture<>();
    exec.fork()
        .onError(result::completeExceptionally)
        .start(
            execution ->
                client
                    .get(uri, request -> request.readTimeout(timeout))
                    .then(
                        response ->
                            result.complete(
                                new Response(
                                    response.getStatusCode(),
                                    response.getHeaders(),
                                    response.getBody().getText(StandardCharsets.UTF_8)))));
    return result;
  }

  @Override
  public void close() {
    client.close();
  }
}
