package org.cranberrystand.daemon.internal;

import com.google.common.net.UrlEscapers;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.time.Duration;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.StreamedResponse;

/**
 * HTTP client for calls to upstreams. Calls must run within a Ratpack execution.
 *
 * <p>Connections are not pooled and redirects are not followed, so that each call sends at most one
 * request, on a separate connection. Safe for use by several threads.
 */
final class UpstreamHttpClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient requestClient;
  private final HttpClient controlClient;

  UpstreamHttpClient(Duration readTimeout) throws Exception {
    this.requestClient =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(readTimeout));
    this.controlClient =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(CONTROL_TIMEOUT));
  }

  /**
   * Sends a request for execution.
   *
   * @param upstream the upstream
   * @param path the path without leading slash
   * @param body the body
   * @param requestId the request identifier in text form
   * @param readTimeout the maximum time without data from the upstream
   * @return the response head and a stream of the body
   */
  Promise<StreamedResponse> post(
      UpstreamRecord upstream,
      String path,
      RequestBody body,
      String requestId,
      Duration readTimeout) {
    return requestClient.requestStream(
        uri(upstream.address(), path),
        spec -> {
          spec.post().redirects(0).readTimeout(readTimeout);
          spec.body(b -> b.type("application/json").bytes(body.bytes()));
          spec.getHeaders().set(ApiHeaders.UPSTREAM_REQUEST_ID, requestId);
        });
  }

  /**
   * Resumes a stream.
   *
   * @param address host and port of the engine
   * @param streamId the identifier of the stream
   * @param from the number of the first event to send
   * @return the response head and a stream of the body
   */
  Promise<StreamedResponse> resume(String address, String streamId, long from) {
    return requestClient.requestStream(
        uri(address, streamPath(streamId) + "?from=" + from), spec -> spec.redirects(0));
  }

  /**
   * Cancels a stream.
   *
   * @param address host and port of the engine
   * @param streamId the identifier of the stream
   * @return whether the engine cancelled it
   */
  Promise<Boolean> cancel(String address, String streamId) {
    return controlClient
        .request(uri(address, streamPath(streamId)), spec -> spec.delete().redirects(0))
        .map(response -> response.getStatusCode() / 100 == 2);
  }

  /**
   * Reads a report of an upstream.
   *
   * @param upstream the upstream
   * @param path the path and query without leading slash
   * @return the response
   */
  Promise<ReceivedResponse> get(UpstreamRecord upstream, String path) {
    return controlClient.request(uri(upstream.address(), path), spec -> spec.redirects(0));
  }

  /**
   * Returns whether a failure proves that no connection was established.
   *
   * @param cause the failure
   * @return true if no data can have reached the upstream
   */
  static boolean isConnectFailure(Throwable cause) {
    return cause instanceof ConnectException || cause instanceof NoRouteToHostException;
  }

  @Override
  public void close() {
    requestClient.close();
    controlClient.close();
  }

  private static String streamPath(String streamId) {
    return "v1/streams/" + UrlEscapers.urlPathSegmentEscaper().escape(streamId);
  }

  private static URI uri(String address, String path) {
    return URI.create("http://" + address + "/" + path);
  }
}
