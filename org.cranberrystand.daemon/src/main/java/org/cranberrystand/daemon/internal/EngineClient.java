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
 * Calls to upstreams. Calls run within a Ratpack execution.
 *
 * <p>Connections are not pooled and redirects are not followed, so that each call is at most one
 * request on a connection of its own. Safe for use by several threads.
 */
final class EngineClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final HttpClient controlClient;

  EngineClient(Duration silence) throws Exception {
    this.client =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver().connectTimeout(CONNECT_TIMEOUT).readTimeout(silence));
    this.controlClient =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(CONTROL_TIMEOUT));
  }

  /**
   * Sends a request that the upstream may run.
   *
   * @param upstream the upstream
   * @param path the path without leading slash
   * @param body the body
   * @param requestId the text form of the request identifier
   * @param silence the longest silence of the upstream
   * @return the response head and the body as it arrives
   */
  Promise<StreamedResponse> post(
      UpstreamRecord upstream, String path, RequestBody body, String requestId, Duration silence) {
    return client.requestStream(
        uri(upstream.address(), path),
        spec -> {
          spec.post().redirects(0).readTimeout(silence);
          spec.body(b -> b.type("application/json").bytes(body.bytes()));
          spec.getHeaders().set(ApiHeaders.UPSTREAM_REQUEST_ID, requestId);
        });
  }

  /**
   * Reads a stream again.
   *
   * @param address host and port of the engine
   * @param streamId the stream
   * @param from the first event
   * @return the response head and the body as it arrives
   */
  Promise<StreamedResponse> resume(String address, String streamId, long from) {
    return client.requestStream(
        uri(address, streamPath(streamId) + "?from=" + from), spec -> spec.redirects(0));
  }

  /**
   * Cancels a stream.
   *
   * @param address host and port of the engine
   * @param streamId the stream
   * @return whether the engine cancelled it
   */
  Promise<Boolean> cancel(String address, String streamId) {
    return controlClient
        .request(uri(address, streamPath(streamId)), spec -> spec.delete().redirects(0))
        .map(response -> response.getStatusCode() / 100 == 2);
  }

  /**
   * Reads a report.
   *
   * @param upstream the upstream
   * @param path the path and query without leading slash
   * @return the response
   */
  Promise<ReceivedResponse> read(UpstreamRecord upstream, String path) {
    return controlClient.request(uri(upstream.address(), path), spec -> spec.redirects(0));
  }

  /**
   * Tells whether a failure proves that no connection was established.
   *
   * @param cause the failure
   * @return true if no byte can have reached the upstream
   */
  static boolean isConnectFailure(Throwable cause) {
    return cause instanceof ConnectException || cause instanceof NoRouteToHostException;
  }

  @Override
  public void close() {
    client.close();
    controlClient.close();
  }

  private static String streamPath(String streamId) {
    return "v1/streams/" + UrlEscapers.urlPathSegmentEscaper().escape(streamId);
  }

  private static URI uri(String address, String path) {
    return URI.create("http://" + address + "/" + path);
  }
}
