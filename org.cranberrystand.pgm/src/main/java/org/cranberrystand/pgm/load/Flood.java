package org.cranberrystand.pgm.load;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Time during which one kind of work arrives faster.
 *
 * @param kind the kind of work
 * @param factor the multiple of its usual rate
 * @param startSeconds when it starts
 * @param endSeconds when it ends
 */
public record Flood(String kind, double factor, double startSeconds, double endSeconds) {
  private static final Pattern FORM =
      Pattern.compile(
          "([^=]+)=(\\d{1,6}(?:\\.\\d+)?)@(\\d{1,6}(?:\\.\\d+)?)-(\\d{1,6}(?:\\.\\d+)?)");

  /**
   * Reads a flood from the command line.
   *
   * @param text the form {@code KIND=FACTOR@START-END} with times in seconds
   * @return the flood, or empty if the text has another form
   */
  public static Optional<Flood> parse(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    Flood flood =
        new Flood(
            matcher.group(1),
            Double.parseDouble(matcher.group(2)),
            Double.parseDouble(matcher.group(3)),
            Double.parseDouble(matcher.group(4)));
    return flood.endSeconds > flood.startSeconds ? Optional.of(flood) : Optional.empty();
  }

  boolean isActiveAt(double seconds) {
    return seconds >= startSeconds && seconds < endSeconds;
  }
}
