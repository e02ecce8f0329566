package org.cranberrystand.bench.rollout;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.security.FleetKeys;
import org.cranberrystand.wire.security.PeerAuthentication;

/** Peer with a valid fleet key that announces a bundle and serves altered content for it. */
final class RoguePeer implements AutoCloseable {
  private static final String DIGEST_PATH = "peer/v1/digest";

  private final SignedBundle signed;
  private final HttpServer server;
  private final AtomicInteger fetchCount = new AtomicInteger();
  private final PeerAuthentication authentication =
      new PeerAuthentication(EmbeddedFleet.fleetKeys().keysFor(FleetKeys.Use.PEER));

  RoguePeer(SignedBundle signed) throws IOException {
    this.signed = signed;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/peer/v1/bundle/part/", this::serve);
    server.createContext("/", exchange -> send(exchange, 404, ""));
    server.start();
  }

  int fetchCount() {
    return fetchCount.get();
  }

  int announceTo(Node node) throws Exception {
    String address = "127.0.0.1:" + server.getAddress().getPort();
    String body =
        "{\"f\":\"rogue\",\"h\":1,\"v\":99,\"d\":\"%s\",\"m\":[[\"rogue\",\"1\",\"%s\",\"%s\",\"d\",\"alive\",1]]}"
            .formatted(BundleParser.digestOf(signed.bundle()), address, address);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String code = authentication.sign("POST", DIGEST_PATH, bytes, System.currentTimeMillis());
    return FleetChecks.send(
            HttpRequest.newBuilder(URI.create("http://" + node.peerAddress() + "/" + DIGEST_PATH))
                .header(PeerAuthentication.HEADER, code)
                .POST(HttpRequest.BodyPublishers.ofByteArray(bytes))
                .build())
        .statusCode();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void serve(HttpExchange exchange) throws IOException {
    fetchCount.incrementAndGet();
    send(exchange, 200, Json.toText(new SignedBundle(signed.bundle() + "#", signed.signatures())));
  }

  private static void send(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
