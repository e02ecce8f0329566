package org.cranberrystand.dispatch;

import com.google.common.primitives.Doubles;

/**
 * The rate of requests to which an upstream limits all nodes together.
 *
 * <p>Immutable.
 *
 * @param perSecond requests per second; infinite without a limit
 * @param isValid whether the stated value could be used; if not, the last valid one holds
 */
public record RateLimit(double perSecond, boolean isValid) {
  /** No limit. */
  public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY, true);

  /**
   * Interprets the value that an upstream stated.
   *
   * @param stated requests per second, possibly with a fraction
   * @return the limit; invalid if the value is negative or not a finite number
   */
  public static RateLimit ofPerSecond(String stated) {
    Double value = Doubles.tryParse(stated.strip());
    boolean isValid = value != null && Double.isFinite(value) && value >= 0;
    return new RateLimit(isValid ? value : Double.POSITIVE_INFINITY, isValid);
  }
}
