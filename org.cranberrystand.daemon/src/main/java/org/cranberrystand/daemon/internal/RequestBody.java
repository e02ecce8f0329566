package org.cranberrystand.daemon.internal;

/**
 * Immutable body of a request.
 *
 * <p>The bytes are shared instead of copied, so callers must not modify them.
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
