package org.cranberrystand.pgm;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** Options that specify the nodes to call and the operator token. */
final class ConnectionOptions {
  private static final String ADDRESSES_VARIABLE = "CRANBERRYSTAND_OPERATORS";
  private static final String TOKEN_VARIABLE = "CRANBERRYSTAND_TOKEN";

  @Option(
      names = "--operator",
      paramLabel = "ADDRESS",
      description = {
        "Operator listener of a node as HOST:PORT; repeat the option for several nodes.",
        "Default: the addresses in " + ADDRESSES_VARIABLE + ", separated by commas."
      })
  private List<String> addresses = List.of();

  @Option(
      names = "--token-file",
      paramLabel = "FILE",
      description =
          "File that contains the operator token. Default: the value of " + TOKEN_VARIABLE + ".")
  private Path tokenFile;

  OperatorClient createClient() {
    return new OperatorClient(parseAddresses(addressTexts()), readToken());
  }

  private List<String> addressTexts() {
    String variable = System.getenv(ADDRESSES_VARIABLE);
    return addresses.isEmpty() && variable != null
        ? Splitter.on(',').trimResults().omitEmptyStrings().splitToList(variable)
        : addresses;
  }

  private static ImmutableList<HostAndPort> parseAddresses(List<String> addressTexts) {
    if (addressTexts.isEmpty()) {
      throw CommandException.invalid(
          "no node is specified", "specify --operator HOST:PORT or set " + ADDRESSES_VARIABLE);
    }
    ImmutableList.Builder<HostAndPort> parsed = ImmutableList.builder();
    for (String text : addressTexts) {
      parsed.add(parseAddress(text, "--operator"));
    }
    return parsed.build();
  }

  /**
   * Parses an address.
   *
   * @param text the address as HOST:PORT
   * @param option the name of the option, for error messages
   * @return the address
   * @throws CommandException if the text is not an address with a port
   */
  static HostAndPort parseAddress(String text, String option) {
    try {
      HostAndPort address = HostAndPort.fromString(text);
      if (address.hasPort() && !address.getHost().isEmpty()) {
        return address;
      }
    } catch (IllegalArgumentException e) {
      throw CommandException.invalid(
          option + " \"" + text + "\" is not an address: " + e.getMessage(), "specify HOST:PORT");
    }
    throw CommandException.invalid(option + " \"" + text + "\" has no port", "specify HOST:PORT");
  }

  private String readToken() {
    String token = System.getenv(TOKEN_VARIABLE);
    if (tokenFile != null) {
      try {
        token = Files.readString(tokenFile);
      } catch (IOException e) {
        throw CommandException.invalid(
            "cannot read the token: " + e, "specify a readable file with --token-file");
      }
    }
    if (token == null || token.isBlank()) {
      throw CommandException.invalid(
          "no operator token is specified", "specify --token-file FILE or set " + TOKEN_VARIABLE);
    }
    return token.strip();
  }
}
