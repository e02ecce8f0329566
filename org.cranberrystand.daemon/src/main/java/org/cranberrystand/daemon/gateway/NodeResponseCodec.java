package org.cranberrystand.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cranberrystand.dispatch.PauseRequest;
import org.cranberrystand.dispatch.RateLimit;

/**
 * Reads the responses of other nodes to forwarded requests: those of upstreams, which they pass on,
 * and their own. Thread-safe.
 */
final class NodeResponseCodec implements HeaderCodec {
  private final HeaderCodec platform;

  NodeResponseCodec(HeaderCodec platform) {
    this.platform = platform;
  }

  @Override
  public ResponseHeaders readResponse(HttpResponse response) {
    ResponseHeaders headers = platform.readResponse(response);
    if (headers.sealed()) {
      return headers;
    }
    String retryAfter = response.headers().get(HttpHeaderNames.RETRY_AFTER);
    return new ResponseHeaders(
        ForwardedRequest.respondedTo(response.headers()),
        false,
        promisesNotRun(response.status().code()),
        false,
        Optional.ofNullable(retryAfter).map(PauseRequest::ofSeconds),
        RateLimit.NONE,
        Optional.empty(),
        RateLimit.NONE,
        Optional.empty());
  }

  /** Nodes respond with these statuses only if no upstream has run the request or will. */
  private static boolean promisesNotRun(int status) {
    return status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code();
  }

  @Override
  public CallerHeaders readRequest(HttpHeaders headers) {
    return platform.readRequest(headers);
  }

  @Override
  public void writeRequest(HttpHeaders headers, CallerHeaders caller, UpstreamHeaders upstream) {
    platform.writeRequest(headers, caller, upstream);
  }

  @Override
  public void writeWait(HttpHeaders headers, long waitMillis) {
    platform.writeWait(headers, waitMillis);
  }

  @Override
  public void removeInternalHeaders(HttpHeaders headers) {
    platform.removeInternalHeaders(headers);
  }
}
