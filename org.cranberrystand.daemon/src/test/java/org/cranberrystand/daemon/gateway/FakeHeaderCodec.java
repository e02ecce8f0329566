package org.cranberrystand.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.dispatch.RateLimit;

/** Reads the identifier, the seal and the statement of responses that a request did not run. */
final class FakeHeaderCodec implements HeaderCodec {
  static final String REQUEST_ID = "id";
  static final String SEAL = "seal";
  static final String NOT_RUN = "not-run";

  @Override
  public ResponseHeaders readResponse(HttpResponse response) {
    List<String> ids = response.headers().getAll(REQUEST_ID);
    return new ResponseHeaders(
        ids.size() == 1 ? ids.get(0) : null,
        response.headers().contains(SEAL),
        response.headers().contains(NOT_RUN),
        false,
        Optional.empty(),
        RateLimit.NONE,
        Optional.empty(),
        RateLimit.NONE,
        Optional.empty());
  }

  @Override
  public CallerHeaders readRequest(HttpHeaders headers) {
    throw new AssertionError("no request is read");
  }

  @Override
  public void writeRequest(HttpHeaders headers, CallerHeaders caller, UpstreamHeaders upstream) {
    throw new AssertionError("no request is written");
  }

  @Override
  public void writeWait(HttpHeaders headers, long waitMillis) {
    throw new AssertionError("no request is written");
  }

  @Override
  public void removeInternalHeaders(HttpHeaders headers) {
    // Responses have no such headers.
  }
}
