import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A gateway as a process of its own, with the command of the deploy file and the template of the
 * settings filled in.
 */
final class GatewayProcess implements AutoCloseable {
  static final int CALLER_PORT = 8221;
  static final int DIRECTORY_PORT = 8220;
  static final int[] PORTS = {CALLER_PORT, DIRECTORY_PORT, 8224, 8229, 7600, 7601};

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([\\w.]+)}}");

  private final String host;
  private final Path directory;
  private final Path settings;
  private final Map<String, String> values;
  private final List<String> seeds;
  private final List<String> command;
  private Process process;
  private int startCount;

  /**
   * Prepares a gateway.
   *
   * @param host its loopback address
   * @param zone its zone
   * @param seeds the addresses of up to three gateways
   * @param furtherValues further values of the template, by placeholder
   */
  GatewayProcess(Path directory, String host, String zone, List<String> seeds, String store,
      Map<String, String> furtherValues) throws IOException {
    this.host = host;
    this.directory = directory;
    this.settings = directory.resolve(host + ".toml");
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no command in deploy/system.toml");
    }
    this.command = List.of(run.group(1).split(" "));
    this.seeds = seeds;
    this.values = new HashMap<>(Map.ofEntries(
        Map.entry("NodeName", "front-" + host),
        Map.entry("Zone", zone),
        Map.entry("Ip", host),
        Map.entry("Limits.CpuShare", "0.75"),
        Map.entry("Limits.Cores", "1"),
        Map.entry("Listen.Front", host + ":" + CALLER_PORT),
        Map.entry("Listen.Ready", host + ":8224"),
        Map.entry("Listen.Control", host + ":8229"),
        Map.entry("Listen.Directory", host + ":" + DIRECTORY_PORT),
        Map.entry("InternalPortRange.0", "7600"),
        Map.entry("Platform.Address", store),
        Map.entry("Platform.HistoryS", "20"),
        Map.entry("HeartbeatMs", "1200"),
        Map.entry("Bounds.RetryBudgetRatio", "0.2"),
        Map.entry("Bounds.BudgetSlack", "56"),
        Map.entry("Bounds.QuotaOver", "0.25"),
        Map.entry("Bounds.QuotaSlack", "140000"),
        Map.entry("Bounds.QuotaWindowS", "8"),
        Map.entry("Bounds.GracePeriodS", "8")));
    this.values.putAll(furtherValues);
  }

  /** Fills in the template as the platform does, as far as the template uses its features. */
  private static String fill(String template, Map<String, String> values, List<String> seeds) {
    String text = SECTION.matcher(template).replaceAll(section -> {
      String name = section.group(1);
      if (name.equals("Seeds")) {
        String entry = section.group(2).replace("{{,}}", "");
        return Matcher.quoteReplacement(seeds.stream().map(seed -> entry.replace("{{.}}", seed))
            .collect(Collectors.joining(",")));
      }
      return values.containsKey(name) ? Matcher.quoteReplacement(section.group(2)) : "";
    });
    return PLACEHOLDER.matcher(text).replaceAll(
        placeholder -> Matcher.quoteReplacement(values.getOrDefault(placeholder.group(1), "")));
  }

  String host() {
    return host;
  }

  String callerAddress() {
    return host + ":" + CALLER_PORT;
  }

  /** Starts the process. Only the first start is one with the whole system. */
  void start() throws IOException {
    values.put("Bootstrap", startCount == 0 ? "true" : "false");
    Files.writeString(settings, fill(Files.readString(Path.of("platform/settings.toml")), values,
        seeds.stream().map(seed -> seed + ":8229").toList()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CRANBERRYSTAND_CONFIG", settings.toString());
    process = builder.redirectErrorStream(true)
        .redirectOutput(directory.resolve(host + "-" + ++startCount + ".log").toFile()).start();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  /** Sends SIGKILL, as a machine that loses power, and waits for the end. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    if (isAlive()) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
