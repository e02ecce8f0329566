package org.cranberrystand.daemon.internal;

import java.net.ConnectException;
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
 * Makes authenticated HTTP calls to other nodes. Must be used within a Ratpack execution.
 *
 * <p>Safe for use by several threads.
 */
public final class PeerClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

  /** Raised from the 1 MB default of the client, since a bundle may have several parts of 1 MB. */
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  private final PeerAuthentication authentication;
  private final ControlCost cost;
  private final String node;
  private final PeerFault fault;
  private final HttpClient controlClient;
  private final HttpClient requestClient;

  /**
   * Creates a client.
   *
   * @param state the state of the node
   * @throws Exception if the client cannot be created
   */
  public PeerClient(NodeState state) throws Exception {
    this(state, PeerFault.none());
  }

  /**
   * Creates a client with fault injection.
   *
   * @param state the state of the node
   * @param fault decides which messages are messageLost
   * @throws Exception if the client cannot be created
   */
  public PeerClient(NodeState state, PeerFault fault) throws Exception {
    this.cost = state.controlCost();
    this.node = state.settings().node();
    this.fault = fault;
    this.authentication = new PeerAuthentication(state.fleetKeys().keysFor(FleetKeys.Use.PEER));
    this.controlClient =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .maxContentLength(MAX_RESPONSE_BYTES)
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
   * @param address host and port of the peer listener of the other node
   * @param method the HTTP method
   * @param path the path and query without leading slash
   * @param body the body; empty for none
   * @return the response
   */
  public Promise<ReceivedResponse> call(String address, String method, String path, byte[] body) {
    if (fault.drops(node, address)) {
      return messageLost(address);
    }
    cost.countRequest(body.length);
    return controlClient
        .request(uri(address, path), sign(method, path, body, spec -> {}))
        .flatMap(response -> receive(address, response));
  }

  /**
   * Sends the request of a shop to another node and streams the response.
   *
   * @param address host and port of the peer listener of the other node
   * @param path the path and query without leading slash
   * @param body the body
   * @param configureRequest adds headers
   * @return the response with its body as a stream
   */
  public Promise<StreamedResponse> stream(
      String address, String path, byte[] body, Action<? super RequestSpec> configureRequest) {
    if (fault.drops(node, address)) {
      return messageLost(address);
    }
    return requestClient.requestStream(
        uri(address, path), sign("POST", path, body, configureRequest));
  }

  @Override
  public void close() {
    controlClient.close();
    requestClient.close();
  }

  private Promise<ReceivedResponse> receive(String address, ReceivedResponse response) {
    if (fault.drops(node, address)) {
      return messageLost(address);
    }
    cost.countResponse(response.getBody().getBytes().length);
    return Promise.value(response);
  }

  private static <T> Promise<T> messageLost(String address) {
    return Promise.error(new ConnectException("message to or from " + address + " was lost"));
  }

  private Action<RequestSpec> sign(
      String method, String path, byte[] body, Action<? super RequestSpec> configureRequest) {
    return spec -> {
      configureRequest.execute(spec);
      spec.method(method);
      if (body.length > 0) {
        spec.body(b -> b.type("application/json").bytes(body));
      }
      String authenticationCode =
          authentication.sign(method, path, body, System.currentTimeMillis());
      spec.getHeaders().set(PeerAuthentication.HEADER, authenticationCode);
    };
  }

  private static URI uri(String address, String path) {
    return URI.create("http://" + address + "/" + path);
  }
}
