package org.cranberrystand.event;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Details of a log event, written as {@code key=value} pairs separated by spaces.
 *
 * <p>A value ends before the next pair, so it may contain spaces. Text before the first pair is
 * kept under the key {@code detail}. Stateless.
 */
public final class EventFields {
  /** Key of text that belongs to no other key. */
  public static final String DETAIL = "detail";

  private static final Pattern KEY = Pattern.compile("(?:^| )([A-Za-z][A-Za-z0-9_]*)=");

  private EventFields() {}

  /**
   * Reads the pairs.
   *
   * @param text the details of an event
   * @return the values by key, in the order of the text; the first value of a repeated key
   */
  public static ImmutableMap<String, String> parse(String text) {
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher matcher = KEY.matcher(text);
    String key = DETAIL;
    int start = 0;
    while (matcher.find()) {
      put(fields, key, text.substring(start, matcher.start()));
      key = matcher.group(1);
      start = matcher.end();
    }
    put(fields, key, text.substring(start));
    return ImmutableMap.copyOf(fields);
  }

  private static void put(Map<String, String> fields, String key, String value) {
    if (!key.equals(DETAIL) || !value.isBlank()) {
      fields.putIfAbsent(key, value.strip());
    }
  }
}
