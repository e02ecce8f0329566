import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What all cases share: addresses, folders, the configuration and the exit code. */
final class Setup {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** The body of a case. */
  interface Case {
    /** Returns whether the rule held. */
    boolean run(Record record, Path folder, boolean trouble) throws Exception;
  }

  private Setup() {}

  /** Runs a case in its folder, which the first argument names, and exits with its result. */
  static void main(String[] args, Case body) throws IOException {
    Path caseFolder = Path.of(args[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review");
    int code = NOT_RUN;
    try (Record record = new Record(caseFolder.resolve("record.txt"))) {
      try {
        boolean held = body.run(record, folder, trouble);
        record.say(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
        code = held ? HELD : BROKEN;
      } catch (Exception e) {
        record.say("RESULT: the case could not run: " + e);
        e.printStackTrace();
      }
    } finally {
      deleteFolder(folder);
    }
    System.exit(code);
  }

  private static void deleteFolder(Path folder) throws IOException {
    if (System.getenv("KEEP") != null) {
      System.out.println("kept " + folder);
      return;
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  /** Returns the folder of the project. */
  static Path root() {
    return Path.of(System.getProperty("user.dir"));
  }

  /** Returns loopback addresses of machines that no other case uses now. */
  static List<String> freeIps(int count) throws IOException {
    long first = ProcessHandle.current().pid();
    for (int i = 0; i < 200; i++) {
      String prefix = "127." + (20 + (first + i) % 200) + "." + (1 + first / 200 % 250) + ".";
      List<String> ips = new ArrayList<>();
      for (int n = 1; n <= count; n++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(prefix + n, GatewayProcess.FRONT_PORT));
          ips.add(prefix + n);
        } catch (IOException e) {
          break;
        }
      }
      if (ips.size() == count) {
        return ips;
      }
    }
    throw new IOException("no free loopback addresses");
  }

  /** A tenant without a limit. */
  static String tenant(String name, String key) {
    return "{\"Name\":\""
        + name
        + "\",\"ApiKeys\":[\""
        + key
        + "\"],\"Priority\":1,\"RatePerS\":0,\"Burst\":0,\"Unit\":\"tokens\",\"PlainTokens\":200}";
  }

  /** A route of the host shop.example. */
  static String route(String prefix, String kind, String service, int maxAttempts) {
    return "{\"Name\":\""
        + prefix.replace("/", "")
        + "\",\"Host\":\"shop.example\",\"Prefix\":\""
        + prefix
        + "\",\"Kind\":\""
        + kind
        + "\",\"TimeoutMs\":"
        + (kind.equals("streaming") ? 15_000 : 1_500)
        + ",\"TargetLatencyMs\":300,\"GapAimMs\":250,\"Service\":\""
        + service
        + "\",\"MaxAttempts\":"
        + maxAttempts
        + ",\"Priority\":0}";
  }

  static String configuration(
      int version, List<String> routes, List<String> services, List<String> tenants) {
    List<String> declared = new ArrayList<>();
    for (String service : services) {
      declared.add(
          "{\"Name\":\"" + service + "\",\"HealthPath\":\"/health\",\"MaxConnections\":110}");
    }
    return "{\"Version\":"
        + version
        + ",\"Routes\":["
        + String.join(",", routes)
        + "],\"Services\":["
        + String.join(",", declared)
        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
        + "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":10000},\"Tenants\":["
        + String.join(",", tenants)
        + "]}";
  }
}
