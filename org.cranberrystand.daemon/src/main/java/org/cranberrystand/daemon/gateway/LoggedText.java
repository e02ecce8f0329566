package org.cranberrystand.daemon.gateway;

import com.google.common.base.Ascii;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Shortens text for the log that callers choose. */
final class LoggedText {
  private static final int MAX_LENGTH = 100;
  private static final int DIGEST_LENGTH = 8;

  private LoggedText() {}

  /**
   * Returns a digest by which two secret texts can be told apart, without telling them; "null" if
   * there is none.
   */
  static String digestOf(String secret) {
    return secret == null
        ? "null"
        : Hashing.sha256()
            .hashString(secret, StandardCharsets.UTF_8)
            .toString()
            .substring(0, DIGEST_LENGTH);
  }

  /** Returns the beginning of a text; "null" if there is none. */
  static String of(String text) {
    return text == null ? "null" : Ascii.truncate(text, MAX_LENGTH, "...");
  }
}
