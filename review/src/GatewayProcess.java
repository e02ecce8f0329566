import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A gateway as a separate process, started with the command of the deploy file and with the filled
 * template of its settings.
 */
final class GatewayProcess implements AutoCloseable {
  static final int FRONT_PORT = 8221;
  private static final int READY_PORT = 8224;
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([A-Za-z.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern VALUE = Pattern.compile("\\{\\{([A-Za-z.0-9]+)}}");

  final String name;
  final String ip;
  private final Path root;
  private final Path settings;
  private final Path log;
  private Process process;

  GatewayProcess(
      Path root, Path folder, int number, List<String> ips, String storeAddress)
      throws IOException {
    this.root = root;
    this.name = "front-" + (number + 1);
    this.ip = ips.get(number);
    this.settings = folder.resolve(name + ".toml");
    this.log = folder.resolve(name + ".log");
    Files.writeString(
        settings,
        fill(
            Files.readString(root.resolve("platform/settings.toml")),
            ips.stream().limit(3).map(seed -> seed + ":8229").toList(),
            Map.ofEntries(
                Map.entry("NodeName", name),
                Map.entry("Zone", "zone-" + (number % 2 == 0 ? "a" : "b")),
                Map.entry("Bootstrap", "true"),
                Map.entry("Limits.CpuShare", "0.75"),
                Map.entry("Limits.Cores", "1"),
                Map.entry("Listen.Front", ip + ":" + FRONT_PORT),
                Map.entry("Listen.Ready", ip + ":" + READY_PORT),
                Map.entry("Listen.Control", ip + ":8229"),
                Map.entry("Listen.Directory", ip + ":8220"),
                Map.entry("InternalPortRange.0", "7600"),
                Map.entry("Ip", ip),
                Map.entry("Platform.Address", storeAddress),
                Map.entry("Bounds.RetryBudgetRatio", "0.2"),
                Map.entry("Bounds.BudgetSlack", "56"),
                Map.entry("Bounds.QuotaOver", "0.25"),
                Map.entry("Bounds.QuotaSlack", "140000"),
                Map.entry("Bounds.QuotaWindowS", "8"),
                Map.entry("Bounds.GracePeriodS", "8"))));
  }

  /** Fills the placeholders of a template; a section without a value is left out. */
  private static String fill(String template, List<String> seeds, Map<String, String> values) {
    Matcher sections = SECTION.matcher(template);
    StringBuilder text = new StringBuilder();
    while (sections.find()) {
      String list = "";
      if (sections.group(1).equals("Seeds")) {
        list = '"' + String.join("\",\"", seeds) + '"';
      }
      sections.appendReplacement(text, Matcher.quoteReplacement(list));
    }
    sections.appendTail(text);
    Matcher placeholders = VALUE.matcher(text.toString());
    StringBuilder filled = new StringBuilder();
    while (placeholders.find()) {
      String value = values.get(placeholders.group(1));
      if (value == null) {
        throw new IllegalStateException("template needs " + placeholders.group(1));
      }
      placeholders.appendReplacement(filled, Matcher.quoteReplacement(value));
    }
    placeholders.appendTail(filled);
    return filled.toString();
  }

  void start() throws IOException {
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = \""))
            .map(line -> line.substring("run = \"".length(), line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(Arrays.asList(run.split(" "))));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("CRANBERRYSTAND_CONFIG", settings.toString());
    process =
        builder
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
            .start();
    // No gateway outlives the case, also if the case is ended from outside.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Starts the process again after it ended; the fleet as a whole has been started before. */
  void startAgain() throws IOException {
    Files.writeString(
        settings,
        Files.readString(settings)
            .replace("starts_with_fleet = true", "starts_with_fleet = false"));
    start();
  }

  /** Waits until the gateway says that it is ready. */
  void awaitReady(int timeoutMillis) throws IOException {
    long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
    while (System.nanoTime() < endNanos) {
      if (isReady()) {
        return;
      }
      Threads.sleep(50);
    }
    throw new IOException(name + " is not ready");
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, READY_PORT), 500);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
      Http.Head head = Http.readHead(socket.getInputStream());
      return head != null && head.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  /** Sends a signal, such as TERM or STOP. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  String log() throws IOException {
    return Files.readString(log);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
