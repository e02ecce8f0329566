import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy between one gateway and the store whose open connections can go silent for good. */
final class StoreProxy implements AutoCloseable {
  private static final class Link {
    private final Socket client;
    private final Socket server;
    private volatile boolean silent;

    private Link(Socket client, Socket server) {
      this.client = client;
      this.server = server;
    }
  }

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  StoreProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
    Threads.start("proxy", this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  int openLinks() {
    return links.size();
  }

  /** Makes all open connections silent, without a reset; new ones work. */
  int silenceOpenConnections() {
    int count = 0;
    for (Link link : links) {
      link.silent = true;
      count++;
    }
    return count;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        Socket server = new Socket();
        server.connect(target, 1_000);
        Link link = new Link(client, server);
        links.add(link);
        Threads.start("proxy-up", () -> copy(link, client, server));
        Threads.start("proxy-down", () -> copy(link, server, client));
      } catch (IOException e) {
        if (listener.isClosed()) {
          return;
        }
      }
    }
  }

  private void copy(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!link.silent) {
          to.getOutputStream().write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One side is closed.
    }
    links.remove(link);
    if (!link.silent || from == link.client) {
      Threads.close(link.client);
      Threads.close(link.server);
    }
  }

  @Override
  public void close() {
    Threads.close(listener);
    for (Link link : links) {
      Threads.close(link.client);
      Threads.close(link.server);
    }
  }
}
