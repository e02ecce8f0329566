package org.cranberrystand.daemon.internal;

import java.net.URI;
import java.time.Duration;
import org.cranberrystand.wire.security.FleetKeys;
import org.cranberrystand.wire.security.PeerAuthentication;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * Authenticated calls to other nodes. Calls run within a Ratpack execution.
 *
 * <p>Safe for use by several threads.
 */
public final class PeerClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

  private final PeerAuthentication authentication;
  private final HttpClient controlClient;
  private final HttpClient requestClient;

  /**
   * Creates a client.
   *
   * @param state the state of the node
   * @throws Exception if the client cannot be created
   */
  public PeerClient(NodeState state) throws Exception {
    this.authentication = new PeerAuthentication(state.fleetKeys().keysFor(FleetKeys.Use.PEER));
    this.controlClient =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(CONTROL_TIMEOUT));
    Duration requestTimeout = Duration.ofMillis(state.settings().limits().upstreamTimeoutMillis());
    this.requestClient =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(requestTimeout));
  }

  /**
   * Makes a short control call.
   *
   * @param address host and port of the peer listener
   * @param method the HTTP method
   * @param path the path and query without leading slash
   * @param body the body; empty for none
   * @return the response
   */
  public Promise<ReceivedResponse> call(String address, String method, String path, byte[] body) {
    return controlClient.request(uri(address, path), sign(method, path, body, spec -> {}));
  }

  /**
   * Passes a request of a shop on and streams the answer.
   *
   * @param address host and port of the peer listener
   * @param path the path and query without leading slash
   * @param body the body
   * @param extra adds headers
   * @return the head of the response and its body as it arrives
   */
  public Promise<StreamedResponse> stream(
      String address, String path, byte[] body, Action<? super RequestSpec> extra) {
    return requestClient.requestStream(uri(address, path), sign("POST", path, body, extra));
  }

  @Override
  public void close() {
    controlClient.close();
    requestClient.close();
  }

  private Action<RequestSpec> sign(
      String method, String path, byte[] body, Action<? super RequestSpec> extra) {
    return spec -> {
      extra.execute(spec);
      spec.method(method);
      if (body.length > 0) {
        spec.body(b -> b.type("application/json").bytes(body));
      }
      String code = authentication.sign(method, path, body, System.currentTimeMillis());
      spec.getHeaders().set(PeerAuthentication.HEADER, code);
    };
  }

  private static URI uri(String address, String path) {
    return URI.create("http://" + address + "/" + path);
  }
}
