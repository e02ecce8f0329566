package org.cranberrystand.pgm.load;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Interval during which requests of one kind arrive at a multiple of their usual rate.
 *
 * @param kind the kind of the requests
 * @param factor the multiple of the usual rate
 * @param startSeconds the start in seconds since the start of the load
 * @param endSeconds the end, exclusive, in seconds since the start of the load
 */
public record Flood(String kind, double factor, double startSeconds, double endSeconds) {
  private static final Pattern SYNTAX =
      Pattern.compile(
          "([^=]+)=(\\d{1,6}(?:\\.\\d+)?)@(\\d{1,6}(?:\\.\\d+)?)-(\\d{1,6}(?:\\.\\d+)?)");

  /**
   * Parses a flood from the command line.
   *
   * @param text the text as {@code KIND=FACTOR@START-END} with times in seconds
   * @return the flood, or empty if the text is malformed or the end is not after the start
   */
  public static Optional<Flood> parse(String text) {
    Matcher matcher = SYNTAX.matcher(text);
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
