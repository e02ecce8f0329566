package org.cranberrystand.util;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.Function;

/**
 * Result of parsing and validating an input: a value, or all errors found.
 *
 * @param <T> the type of the parsed value
 */
public sealed interface Checked<T> {

  /**
   * The value of a valid input.
   *
   * @param <T> the type of the parsed value
   * @param value the parsed value
   */
  record Valid<T>(T value) implements Checked<T> {}

  /**
   * The errors of an invalid input.
   *
   * @param <T> the type of the value that could not be parsed
   * @param findings the errors ordered by position in the input; never empty
   */
  record Invalid<T>(ImmutableList<Finding> findings) implements Checked<T> {

    /** Checks that there is at least one finding. */
    public Invalid {
      if (findings.isEmpty()) {
        throw new IllegalArgumentException("an invalid result must have at least one finding");
      }
    }
  }

  /**
   * Returns the findings.
   *
   * @return an empty list for a valid result
   */
  default List<Finding> findingsOrEmpty() {
    return this instanceof Invalid<T> invalid ? invalid.findings() : ImmutableList.of();
  }

  /**
   * Passes the value of a valid result to the next parsing step.
   *
   * @param <U> the type of the value of the next step
   * @param next the next parsing step
   * @return the result of the next step, or the findings of this result if it is invalid
   */
  default <U> Checked<U> flatMap(Function<? super T, Checked<U>> next) {
    return this instanceof Valid<T> valid
        ? next.apply(valid.value())
        : new Invalid<>(ImmutableList.copyOf(findingsOrEmpty()));
  }

  /**
   * Returns the value of a valid result.
   *
   * @return the value
   * @throws IllegalStateException if the result is invalid; the message lists all findings
   */
  default T orElseThrow() {
    if (this instanceof Valid<T> valid) {
      return valid.value();
    }
    throw new IllegalStateException(findingsOrEmpty().toString());
  }
}
