package org.cranberrystand.util;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Collects the findings of one input file.
 *
 * <p>Not thread-safe.
 */
public final class Findings {
  private final String file;
  private final List<Finding> entries = new ArrayList<>();

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
   * @param line the line number counted from 1, or 0 for the whole file
   * @param key the dotted key, or an empty string
   * @param message what is wrong and what is accepted instead
   */
  public void add(int line, String key, String message) {
    entries.add(new Finding(file, line, key, message));
  }

  /**
   * Tells whether anything was found.
   *
   * @return true when no finding was added
   */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns all findings ordered by line.
   *
   * @return an immutable copy
   */
  public ImmutableList<Finding> toList() {
    return ImmutableList.sortedCopyOf(Comparator.comparingInt(Finding::line), entries);
  }

  /**
   * Builds the value when nothing was found.
   *
   * @param <T> the type of the value
   * @param value creates the value; called only when there are no findings
   * @return the value, or all findings
   */
  public <T> Checked<T> toChecked(Supplier<T> value) {
    return entries.isEmpty() ? new Checked.Valid<>(value.get()) : new Checked.Invalid<>(toList());
  }
}
