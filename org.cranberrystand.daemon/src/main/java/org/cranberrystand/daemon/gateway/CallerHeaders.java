package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;

/**
 * The parsed headers of a caller's request.
 *
 * @param requestId the identifier of the caller's attempt; null if missing
 * @param apiKey the caller's API key; null if missing
 * @param waitMillis how long the caller waits for the response, in milliseconds; 0 if not given
 * @param promptTokens the number of prompt tokens; 0 if not given
 * @param prefixKey identifies the prompt prefix that several requests may share
 * @param prefixTokens the number of tokens of the shared prefix; 0 if there is none
 * @param sharedParts identifies the parts of the prompt that several requests may share, in order
 * @param maxOutputTokens the maximum number of output tokens; 0 if not given
 * @param outputTokensHint the caller's estimate of the number of output tokens; 0 if not given
 * @param lastEventId the last event that the caller received; null to start from the first event
 * @param resumedStream identifies the stream that the caller resumes: the identifier of its attempt
 *     that received the first event; null if not given
 */
public record CallerHeaders(
    String requestId,
    String apiKey,
    long waitMillis,
    int promptTokens,
    long prefixKey,
    int prefixTokens,
    ImmutableList<Long> sharedParts,
    int maxOutputTokens,
    int outputTokensHint,
    String lastEventId,
    String resumedStream) {

  /** Streams of longer identifiers are served, but cannot be resumed. */
  private static final int MAX_STREAM_ID_LENGTH = 128;

  /** Returns the number of tokens charged to the team's quota. */
  public long quotaTokens() {
    return (long) promptTokens + maxOutputTokens;
  }

  /** Returns the expected number of output tokens: the caller's estimate, or else the maximum. */
  public int expectedOutputTokens() {
    return outputTokensHint > 0 ? outputTokensHint : maxOutputTokens;
  }

  /**
   * Returns whether the request, if it is for a stream, begins one that may be resumed. Nodes keep
   * the identifiers of such streams after they end, so they do not keep long ones.
   */
  boolean beginsStream() {
    return lastEventId == null && requestId != null && requestId.length() <= MAX_STREAM_ID_LENGTH;
  }
}
