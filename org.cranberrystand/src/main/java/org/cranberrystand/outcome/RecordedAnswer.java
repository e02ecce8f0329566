package org.cranberrystand.outcome;

import com.google.common.collect.ImmutableMap;

/**
 * Complete answer of an upstream, stored for callers that send the request again.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class RecordedAnswer {
  private final int status;
  private final ImmutableMap<String, String> headers;
  private final byte[] body;

  /**
   * Creates an answer.
   *
   * @param status the HTTP status
   * @param headers the headers to send to the caller, including the content type
   * @param body the body; the array is copied
   */
  public RecordedAnswer(int status, ImmutableMap<String, String> headers, byte[] body) {
    this.status = status;
    this.headers = headers;
    this.body = body.clone();
  }

  public int status() {
    return status;
  }

  public ImmutableMap<String, String> headers() {
    return headers;
  }

  /**
   * Returns the body.
   *
   * @return a copy of the body
   */
  public byte[] body() {
    return body.clone();
  }

  /**
   * Returns the size of the body.
   *
   * @return the size in bytes
   */
  public int sizeBytes() {
    return body.length;
  }
}
