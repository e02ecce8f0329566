package org.cranberrystand.daemon.internal;

/**
 * Body of a request.
 *
 * <p>Not copied on the request path; users must not modify the bytes.
 */
final class RequestBody {
  private final byte[] bytes;

  RequestBody(byte[] bytes) {
    this.bytes = bytes;
  }

  byte[] bytes() {
    return bytes;
  }
}
