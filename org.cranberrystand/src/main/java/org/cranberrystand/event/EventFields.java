package org.cranberrystand.event;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the details of a log event, which are {@code key=value} pairs separated by spaces.
 *
 * <p>A value extends to the next pair, so it may contain spaces. Text before the first pair is
 * returned under the key {@code detail}. Stateless.
 */
public final class EventFields {
  /** Key of the text before the first pair. */
  public static final String DETAIL = "detail";

  private static final Pattern KEY = Pattern.compile("(?:^| )([A-Za-z][A-Za-z0-9_]*)=");

  private EventFields() {}

  /**
   * Parses the pairs of a text.
   *
   * @param text the details of an event
   * @return the values by key, in the order of the text; for a repeated key, the first value
   */
  public static ImmutableMap<String, String> parse(String text) {
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher matcher = KEY.matcher(text);
    String key = DETAIL;
    int start = 0;
    while (matcher.find()) {
      putField(fields, key, text.substring(start, matcher.start()));
      key = matcher.group(1);
      start = matcher.end();
    }
    putField(fields, key, text.substring(start));
    return ImmutableMap.copyOf(fields);
  }

  private static void putField(Map<String, String> fields, String key, String value) {
    if (!key.equals(DETAIL) || !value.isBlank()) {
      fields.putIfAbsent(key, value.strip());
    }
  }
}
