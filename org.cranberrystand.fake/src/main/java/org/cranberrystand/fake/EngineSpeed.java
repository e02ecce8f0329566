package org.cranberrystand.fake;

import java.time.Duration;

/**
 * Unloaded speed of a fake engine.
 *
 * @param prefillTokensPerSecond prompt tokens processed per second
 * @param tokenGap time between two output tokens
 */
public record EngineSpeed(double prefillTokensPerSecond, Duration tokenGap) {
  /** Newer hardware generation. */
  public static final EngineSpeed FAST = new EngineSpeed(20_000, Duration.ofMillis(10));

  /** Older hardware generation. */
  public static final EngineSpeed SLOW = new EngineSpeed(5_000, Duration.ofMillis(30));

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Returns how long the prefill of a prompt takes.
   *
   * @param tokens the length of the prompt
   * @return the time without other load
   */
  public Duration prefill(int tokens) {
    return Duration.ofNanos((long) (tokens / prefillTokensPerSecond * NANOS_PER_SECOND));
  }
}
