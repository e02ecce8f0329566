package org.cranberrystand.util;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.Function;

/**
 * Result of reading an input that may have several defects.
 *
 * @param <T> the type of the value read
 */
public sealed interface Checked<T> {

  /**
   * A value without defects.
   *
   * @param <T> the type of the value read
   * @param value the value
   */
  record Valid<T>(T value) implements Checked<T> {}

  /**
   * All defects of the input.
   *
   * @param <T> the type of the value that could not be read
   * @param findings the defects in the order of their place; never empty
   */
  record Invalid<T>(ImmutableList<Finding> findings) implements Checked<T> {

    /** Checks that there is at least one finding. */
    public Invalid {
      if (findings.isEmpty()) {
        throw new IllegalArgumentException("an invalid result needs a finding");
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
   * Reads on from a valid result.
   *
   * @param <U> the type of the value read next
   * @param next reads it
   * @return its result, or the findings of this one
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
