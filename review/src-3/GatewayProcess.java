package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a process of its own, started with the command of the deploy file. */
final class GatewayProcess implements AutoCloseable {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  private final Path root;
  private final Path settings;
  private final Path log;
  private final String host;
  private final int callerPort;
  private final int readyPort;
  private Process process;
  private long startMillis;

  /** The ports that all gateways of a run share, each at its own address. */
  record Ports(int callers, int ready, int peers, int directory, int reports, int metrics) {
    static Ports free() throws IOException {
      List<ServerSocket> sockets = new ArrayList<>();
      int[] ports = new int[6];
      for (int i = 0; i < ports.length; i++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        sockets.add(socket);
        ports[i] = socket.getLocalPort();
      }
      for (ServerSocket socket : sockets) {
        socket.close();
      }
      return new Ports(ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]);
    }
  }

  GatewayProcess(
      Path root,
      Path folder,
      String name,
      String host,
      Ports ports,
      int storePort,
      List<String> seeds)
      throws IOException {
    this.root = root;
    this.host = host;
    this.callerPort = ports.callers();
    this.readyPort = ports.ready();
    this.settings = folder.resolve(name + ".toml");
    this.log = folder.resolve(name + ".log");
    StringBuilder seedList = new StringBuilder();
    for (String seed : seeds) {
      seedList
          .append(seedList.length() == 0 ? "" : ",")
          .append("\"")
          .append(seed)
          .append(":")
          .append(ports.peers())
          .append("\"");
    }
    Files.writeString(
        settings,
        String.join(
            "\n",
            "node = \"" + name + "\"",
            "failure_domain = \"zone-a\"",
            "starts_with_fleet = true",
            "seeds = [" + seedList + "]",
            "[processor]",
            "share = 0.75",
            "speed = 1",
            "[listen]",
            "callers = \"" + host + ":" + ports.callers() + "\"",
            "ready = \"" + host + ":" + ports.ready() + "\"",
            "peers = \"" + host + ":" + ports.peers() + "\"",
            "directory = \"" + host + ":" + ports.directory() + "\"",
            "report_port = " + ports.reports(),
            "metrics = \"" + host + ":" + ports.metrics() + "\"",
            "[store]",
            "address = \"127.0.0.1:" + storePort + "\"",
            "heartbeat_ms = 1200",
            "history_s = 20",
            "[limits]",
            "retry_ratio = 0.2",
            "retry_slack = 56",
            "quota_over = 0.25",
            "quota_slack = 140000",
            "quota_window_s = 8",
            "shutdown_s = 8",
            "address_lifetime_s = 2",
            ""));
  }

  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy file has no command");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(root.toFile());
    builder.environment().put("CRANBERRYSTAND_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    startMillis = System.nanoTime() / 1_000_000;
    process = builder.start();
  }

  /** Waits until the platform's check of readiness succeeds. */
  void awaitReady() throws IOException {
    for (int i = 0; i < 300; i++) {
      if (isReady()) {
        return;
      }
      Threads.sleep(50);
    }
    throw new IOException("gateway at " + host + " is not ready: " + Files.readString(log));
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, readyPort), 500);
      socket.setSoTimeout(500);
      socket
          .getOutputStream()
          .write(
              "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      HttpHead head = HttpHead.read(socket.getInputStream());
      return head != null && head.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  String host() {
    return host;
  }

  int callerPort() {
    return callerPort;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  long ageMillis() {
    return System.nanoTime() / 1_000_000 - startMillis;
  }

  String logText() throws IOException {
    return Files.readString(log);
  }

  /** Sends a signal to the process, by its id. */
  void signal(String name) throws IOException {
    Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    try {
      kill.waitFor();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean awaitEnd(long millis) {
    try {
      return process.waitFor(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  int exitCode() {
    return process.exitValue();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      awaitEnd(5_000);
    }
  }
}
