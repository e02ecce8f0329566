package org.cranberrystand.fake;

import java.time.Duration;

/**
 * Speed of a fake engine that runs a single request.
 *
 * @param prefillTokensPerSecond prompt tokens that the prefill processes per second
 * @param tokenGap time between two consecutive output tokens
 */
public record EngineSpeed(double prefillTokensPerSecond, Duration tokenGap) {
  /** Speed of the newer hardware generation. */
  public static final EngineSpeed FAST = new EngineSpeed(20_000, Duration.ofMillis(10));

  /** Speed of the older hardware generation. */
  public static final EngineSpeed SLOW = new EngineSpeed(5_000, Duration.ofMillis(30));

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Returns the duration of the prefill of a prompt.
   *
   * @param promptTokens the length of the prompt, in tokens
   * @return the time when no other request runs
   */
  public Duration prefillTime(int promptTokens) {
    return Duration.ofNanos((long) (promptTokens / prefillTokensPerSecond * NANOS_PER_SECOND));
  }
}
