package org.cranberrystand.util;

import java.util.Objects;

/**
 * Validation error in an input file, with its position.
 *
 * @param file the name of the file as the user gave it
 * @param line the line number starting at 1, or 0 if the finding concerns the whole file
 * @param key the dotted key to which the finding applies, or an empty string
 * @param message what is wrong, and what is accepted instead
 */
public record Finding(String file, int line, String key, String message) {

  /** Checks that no component is null. */
  public Finding {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file);
    if (line > 0) {
      text.append(':').append(line);
    }
    text.append(": ");
    if (!key.isEmpty()) {
      text.append(key).append(": ");
    }
    return text.append(message).toString();
  }
}
