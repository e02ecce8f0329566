package org.cranberrystand.fake;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.handling.Context;

/**
 * Plain service for orders, reservations and stock.
 *
 * <p>Runs whatever it receives, so that a request which arrives twice runs twice and is seen in the
 * log. Safe for use by several threads.
 */
public final class FakeOrderService implements AutoCloseable {

  /**
   * One operation that was run.
   *
   * @param operation the name of the operation
   * @param requestId the identifier sent with it
   * @param number the position in the order of execution
   */
  public record Entry(String operation, String requestId, long number) {}

  private final String name;
  private final FakeServer server;
  private final Queue<Entry> log = new ConcurrentLinkedQueue<>();
  private final AtomicLong nextNumber = new AtomicLong();

  /**
   * Starts a service.
   *
   * @param name the name of the VM
   * @throws Exception if the server cannot be started
   */
  public FakeOrderService(String name) throws Exception {
    this(name, 0);
  }

  /**
   * Starts a service.
   *
   * @param name the name of the VM
   * @param port the port on loopback; 0 takes any free port
   * @throws Exception if the server cannot be started
   */
  public FakeOrderService(String name, int port) throws Exception {
    this.name = name;
    this.server =
        new FakeServer(
            port,
            chain ->
                chain
                    .get(
                        "v1/log",
                        ctx -> ctx.getResponse().send("application/json", Json.toText(log())))
                    .get("v1/load", ctx -> ctx.getResponse().send("application/json", "{}"))
                    .post("v1/:operation", this::run));
  }

  public String name() {
    return name;
  }

  public HostAndPort address() {
    return server.address();
  }

  /**
   * Returns all operations that were run.
   *
   * @return the operations in the order of execution
   */
  public List<Entry> log() {
    return ImmutableList.copyOf(log);
  }

  @Override
  public void close() throws Exception {
    server.close();
  }

  private void run(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            body -> {
              String requestId = ctx.getRequest().getHeaders().get(ApiHeaders.UPSTREAM_REQUEST_ID);
              String operation = ctx.getPathTokens().get("operation");
              Entry entry = new Entry(operation, requestId, nextNumber.incrementAndGet());
              log.add(entry);
              ctx.getResponse().send("application/json", Json.toText(entry));
            });
  }
}
