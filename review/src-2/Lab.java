import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;

/** What the stand-ins share. */
final class Lab {
  private static final int FIRST_SUBNET = 20;
  private static final int SUBNET_COUNT = 200;

  private Lab() {}

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static void start(Runnable task) {
    daemon(task).start();
  }

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads a line without its end; empty at the end of the input. */
  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  /** Returns the start of loopback addresses at which the ports of gateways are free. */
  static String freeSubnet(int hosts) throws IOException {
    long first = ProcessHandle.current().pid();
    for (int i = 0; i < SUBNET_COUNT; i++) {
      String prefix = "127." + (FIRST_SUBNET + (first + i) % SUBNET_COUNT) + ".0.";
      if (isFree(prefix, hosts)) {
        return prefix;
      }
    }
    throw new IOException("no free loopback addresses");
  }

  private static boolean isFree(String prefix, int hosts) {
    for (int host = 1; host <= hosts; host++) {
      for (int port : GatewayProcess.PORTS) {
        try (ServerSocket probe =
            new ServerSocket(port, 1, InetAddress.getByName(prefix + host))) {
          probe.getLocalPort();
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }
}
