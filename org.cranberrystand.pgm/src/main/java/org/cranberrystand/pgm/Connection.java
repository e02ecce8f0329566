package org.cranberrystand.pgm;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** Options that say which nodes to call and with which token. */
final class Connection {
  private static final String ADDRESSES_VARIABLE = "CRANBERRYSTAND_OPERATORS";
  private static final String TOKEN_VARIABLE = "CRANBERRYSTAND_TOKEN";

  @Option(
      names = "--operator",
      paramLabel = "ADDRESS",
      description = {
        "Operator listener of a node as HOST:PORT; repeat it for several nodes.",
        "Default: the addresses in " + ADDRESSES_VARIABLE + ", separated by commas."
      })
  private List<String> addresses = List.of();

  @Option(
      names = "--token-file",
      paramLabel = "FILE",
      description = "File with the operator token. Default: the variable " + TOKEN_VARIABLE + ".")
  private Path tokenFile;

  OperatorClient open() {
    return new OperatorClient(parse(texts()), token());
  }

  private List<String> texts() {
    String variable = System.getenv(ADDRESSES_VARIABLE);
    return addresses.isEmpty() && variable != null
        ? Splitter.on(',').trimResults().omitEmptyStrings().splitToList(variable)
        : addresses;
  }

  private static ImmutableList<HostAndPort> parse(List<String> texts) {
    if (texts.isEmpty()) {
      throw CommandFailure.invalid(
          "no node is named", "give --operator HOST:PORT or set " + ADDRESSES_VARIABLE);
    }
    ImmutableList.Builder<HostAndPort> parsed = ImmutableList.builder();
    for (String text : texts) {
      parsed.add(address(text, "--operator"));
    }
    return parsed.build();
  }

  /**
   * Reads an address.
   *
   * @param text the text
   * @param option the option that gave it
   * @return host and port
   */
  static HostAndPort address(String text, String option) {
    try {
      HostAndPort address = HostAndPort.fromString(text);
      if (address.hasPort() && !address.getHost().isEmpty()) {
        return address;
      }
    } catch (IllegalArgumentException e) {
      throw CommandFailure.invalid(
          option + " \"" + text + "\" is not an address: " + e.getMessage(), "give HOST:PORT");
    }
    throw CommandFailure.invalid(option + " \"" + text + "\" has no port", "give HOST:PORT");
  }

  private String token() {
    String token = System.getenv(TOKEN_VARIABLE);
    if (tokenFile != null) {
      try {
        token = Files.readString(tokenFile);
      } catch (IOException e) {
        throw CommandFailure.invalid(
            "cannot read the token: " + e, "name a readable file with --token-file");
      }
    }
    if (token == null || token.isBlank()) {
      throw CommandFailure.invalid(
          "there is no operator token", "give --token-file FILE or set " + TOKEN_VARIABLE);
    }
    return token.strip();
  }
}
