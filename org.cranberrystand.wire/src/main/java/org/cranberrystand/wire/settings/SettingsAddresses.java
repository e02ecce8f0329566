package org.cranberrystand.wire.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.Collection;
import org.cranberrystand.wire.TomlReader;

/** Reads network addresses from settings. */
final class SettingsAddresses {
  private static final HostAndPort PLACEHOLDER = HostAndPort.fromParts("127.0.0.1", 0);

  private SettingsAddresses() {}

  /** Reads a required address; reports an invalid one and returns a placeholder. */
  static HostAndPort readRequired(TomlReader table, String key) {
    String text = table.getRequiredString(key);
    return text.isEmpty() ? PLACEHOLDER : parse(table, key, text);
  }

  /** Parses addresses; reports invalid ones and replaces them by a placeholder. */
  static ImmutableList<HostAndPort> parseAll(
      TomlReader table, String key, Collection<String> texts) {
    return texts.stream()
        .map(text -> parse(table, key, text))
        .collect(ImmutableList.toImmutableList());
  }

  private static HostAndPort parse(TomlReader table, String key, String text) {
    try {
      HostAndPort address = HostAndPort.fromString(text);
      if (address.hasPort() && InetAddresses.isInetAddress(address.getHost())) {
        return address;
      }
    } catch (IllegalArgumentException e) {
      table.report(key, "\"" + text + "\" is not an address: " + e.getMessage());
      return PLACEHOLDER;
    }
    table.report(key, "\"" + text + "\" must be an IP address and a port, as in 10.0.0.1:8080");
    return PLACEHOLDER;
  }
}
