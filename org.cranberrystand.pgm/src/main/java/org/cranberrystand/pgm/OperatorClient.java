package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.operator.OperatorApi;

/** HTTP client of the operator listeners of the given nodes. Safe for use by several threads. */
final class OperatorClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int STATUS_UNAUTHORIZED = 401;

  private final ImmutableList<HostAndPort> addresses;
  private final String token;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  OperatorClient(ImmutableList<HostAndPort> addresses, String token) {
    this.addresses = addresses;
    this.token = token;
  }

  /**
   * Result of a call to one node.
   *
   * @param <T> the type of the document
   * @param address the address called
   * @param document the document; null if the call failed
   * @param failure why the call failed; null if it succeeded
   */
  record Reply<T>(HostAndPort address, T document, String failure) {}

  ImmutableList<HostAndPort> addresses() {
    return addresses;
  }

  /**
   * Reads a document from every node in parallel.
   *
   * @param <T> the type of the document
   * @param path the path without leading slash
   * @param type the type of the document
   * @return one reply per address, in the order of the addresses
   */
  <T> ImmutableList<Reply<T>> readAll(String path, Class<T> type) {
    List<CompletableFuture<Reply<T>>> calls =
        addresses.stream().map(address -> readAsync(address, path, type)).toList();
    return calls.stream().map(CompletableFuture::join).collect(ImmutableList.toImmutableList());
  }

  /**
   * Reads a document from one node.
   *
   * @param <T> the type of the document
   * @param address the node
   * @param path the path without leading slash
   * @param type the type of the document
   * @return the reply
   */
  <T> Reply<T> read(HostAndPort address, String path, Class<T> type) {
    return readAsync(address, path, type).join();
  }

  /**
   * Sends a change request to one node.
   *
   * @param <T> the type of the answer
   * @param address the node
   * @param path the path without leading slash
   * @param body the request body
   * @param options the operator, the reason and whether this is a dry run
   * @param type the type of the answer
   * @return the reply
   */
  <T> Reply<T> change(
      HostAndPort address, String path, byte[] body, ChangeOptions options, Class<T> type) {
    String query = options.isDryRun() ? "?" + OperatorApi.DRY_RUN + "=true" : "";
    HttpRequest.Builder request =
        request(address, path + query)
            .header("Content-Type", "application/json")
            .header(OperatorApi.OPERATOR_HEADER, encode(options.who()))
            .header(OperatorApi.REASON_HEADER, encode(options.why()))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body));
    return send(address, request.build(), type).join();
  }

  private <T> CompletableFuture<Reply<T>> readAsync(
      HostAndPort address, String path, Class<T> type) {
    return send(address, request(address, path).GET().build(), type);
  }

  private HttpRequest.Builder request(HostAndPort address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + "/" + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + token);
  }

  private <T> CompletableFuture<Reply<T>> send(
      HostAndPort address, HttpRequest request, Class<T> type) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .thenApply(response -> toReply(address, response, type))
        .exceptionally(e -> new Reply<>(address, null, describe(e)));
  }

  private static <T> Reply<T> toReply(
      HostAndPort address, HttpResponse<byte[]> response, Class<T> type) {
    try {
      if (response.statusCode() == 200) {
        return new Reply<>(address, Json.read(response.body(), type), null);
      }
      if (response.statusCode() == STATUS_UNAUTHORIZED) {
        return new Reply<>(address, null, "the node rejected the token; check the token file");
      }
      ProblemDocument problem = Json.read(response.body(), ProblemDocument.class);
      String detail = problem.detail() == null ? "" : " " + problem.detail();
      return new Reply<>(address, null, problem.title() + detail);
    } catch (IOException e) {
      return new Reply<>(
          address,
          null,
          "status "
              + response.statusCode()
              + " without a valid document; is it an operator listener?");
    }
  }

  private static String describe(Throwable thrown) {
    Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
    if (cause instanceof ConnectException) {
      return "cannot connect; is the node running and the address its operator listener?";
    }
    return cause instanceof HttpTimeoutException ? "the request timed out" : cause.toString();
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
