package org.cranberrystand.outcome;

import com.google.common.collect.ImmutableMap;

/**
 * Complete answer of an upstream, kept for callers that send the request again.
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
   * @param headers the headers to send to the caller, among them the content type
   * @param body the body; copied
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
   * @return a copy
   */
  public byte[] body() {
    return body.clone();
  }

  /**
   * Returns the length of the body.
   *
   * @return the length in bytes
   */
  public int sizeBytes() {
    return body.length;
  }
}
