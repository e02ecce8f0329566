package org.cranberrystand.util;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Collects the validation errors of one input file.
 *
 * <p>Not thread-safe.
 */
public final class Findings {
  private final String file;
  private final List<Finding> findings = new ArrayList<>();

  /**
   * Creates an empty collection.
   *
   * @param file the name of the file as the user gave it
   */
  public Findings(String file) {
    this.file = file;
  }

  /**
   * Adds a finding.
   *
   * @param line the line number starting at 1, or 0 for the whole file
   * @param key the dotted key to which the finding applies, or an empty string
   * @param message what is wrong, and what is accepted instead
   */
  public void add(int line, String key, String message) {
    findings.add(new Finding(file, line, key, message));
  }

  /**
   * Returns whether there are no findings.
   *
   * @return true if no finding was added
   */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /**
   * Returns all findings ordered by line.
   *
   * @return an immutable copy of the findings
   */
  public ImmutableList<Finding> toList() {
    return ImmutableList.sortedCopyOf(Comparator.comparingInt(Finding::line), findings);
  }

  /**
   * Returns a valid result if there are no findings, or else an invalid result.
   *
   * @param <T> the type of the value
   * @param value supplies the value; called only if there are no findings
   * @return the value, or all findings ordered by line
   */
  public <T> Checked<T> toChecked(Supplier<T> value) {
    return findings.isEmpty() ? new Checked.Valid<>(value.get()) : new Checked.Invalid<>(toList());
  }
}
