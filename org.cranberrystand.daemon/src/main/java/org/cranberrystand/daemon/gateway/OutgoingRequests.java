package org.cranberrystand.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Builds the requests that are sent for one request of a caller. Used only on the event loop. */
final class OutgoingRequests {
  private final HeaderCodec codec;
  private final CallerExchange exchange;
  private final CallerHeaders caller;
  private final Optional<TeamPolicy> team;

  OutgoingRequests(
      HeaderCodec codec, CallerExchange exchange, CallerHeaders caller, Optional<TeamPolicy> team) {
    this.codec = codec;
    this.exchange = exchange;
    this.caller = caller;
    this.team = team;
  }

  /** Returns the request to an upstream, which resumes a stream after an event unless null. */
  HttpRequest toUpstream(RegisteredUpstream upstream, long waitMillis, String lastEventId) {
    HttpHeaders headers = endToEndHeaders();
    ForwardedRequest.remove(headers);
    codec.writeRequest(
        headers,
        caller,
        new UpstreamHeaders(
            upstream.id(),
            team.map(TeamPolicy::name),
            waitMillis,
            Optional.ofNullable(lastEventId)));
    return requestWith(headers);
  }

  /** Returns the request to another node, after some upstreams may have run it. */
  HttpRequest toNode(long waitMillis, int runs) {
    HttpHeaders headers = endToEndHeaders();
    codec.writeWait(headers, waitMillis);
    ForwardedRequest.write(headers, caller.requestId(), runs);
    return requestWith(headers);
  }

  private HttpHeaders endToEndHeaders() {
    HttpRequest incoming = exchange.request();
    HttpHeaders headers = incoming.headers().copy();
    HopByHopHeaders.remove(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (exchange.body().isReadable() || declaresBody(incoming)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().readableBytes());
    }
    return headers;
  }

  private static boolean declaresBody(HttpRequest incoming) {
    return incoming.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || incoming.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  private HttpRequest requestWith(HttpHeaders headers) {
    HttpRequest incoming = exchange.request();
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, incoming.method(), incoming.uri(), headers);
  }
}
