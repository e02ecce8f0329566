package org.cranberrystand.wire.http;

import java.io.IOException;

/** Thrown when a stream is not a well-formed sequence of server-sent events. */
public final class SseFormatException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception.
   *
   * @param message the defect of the stream
   */
  public SseFormatException(String message) {
    super(message);
  }
}
