package org.cranberrystand.daemon.gateway;

import java.io.IOException;

/** Thrown for bytes that are no HTTP/1.1 message. */
final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedMessageException(String message) {
    super(message);
  }
}
