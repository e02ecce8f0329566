package org.cranberrystand.daemon.gateway;

/**
 * What the headers of a caller's request say.
 *
 * @param requestId identifies one attempt of the caller; null if missing
 * @param key the caller's key; null if missing
 * @param waitMillis how long the caller waits, in milliseconds; 0 if not said
 * @param promptTokens tokens of the prompt; 0 if not said
 * @param sharedKey tells the beginnings apart that prompts have in common
 * @param sharedTokens tokens of the common beginning; 0 if there is none
 * @param maxOutputTokens the most tokens that may be produced; 0 if not said
 * @param outputTokensHint the caller's estimate of the tokens produced; 0 if not said
 * @param lastEventId the last event that the caller has; null if it starts from the first
 */
public record CallerHead(
    String requestId,
    String key,
    long waitMillis,
    int promptTokens,
    long sharedKey,
    int sharedTokens,
    int maxOutputTokens,
    int outputTokensHint,
    String lastEventId) {

  /** Returns the tokens that count for a quota. */
  public long quotaTokens() {
    return (long) promptTokens + maxOutputTokens;
  }

  /** Returns the expected number of output tokens. */
  public int expectedOutputTokens() {
    return outputTokensHint > 0 ? outputTokensHint : maxOutputTokens;
  }
}
