package org.cranberrystand.fake;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.EngineLoad;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.stream.Streams;

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

  private static final int PARTIAL_LENGTH = 100;

  private final String name;
  private final FakeServer server;
  private final Queue<Entry> log = new ConcurrentLinkedQueue<>();
  private final AtomicLong nextNumber = new AtomicLong();
  private final FaultQueue<CallFault> faults = new FaultQueue<>(CallFault.NONE);
  private volatile Duration delay = Duration.ZERO;
  private volatile boolean draining;

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
                    .get("v1/load", this::load)
                    .post("v1/:operation", this::accept));
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

  /**
   * Plans a fault of the next calls.
   *
   * @param fault the fault
   * @param times how many calls it happens to
   */
  public void planFault(CallFault fault, int times) {
    faults.add(fault, times);
  }

  /** Forgets the planned faults. */
  public void clearFaults() {
    faults.clear();
  }

  /**
   * Sets how long an operation takes.
   *
   * @param value the time between running an operation and its answer
   */
  public void setDelay(Duration value) {
    this.delay = value;
  }

  /**
   * Makes the service report that it is leaving and refuse new requests.
   *
   * @param value true to leave
   */
  public void setDraining(boolean value) {
    this.draining = value;
  }

  /** Simulates the death of the process. */
  public void crash() {
    server.crash();
  }

  @Override
  public void close() throws Exception {
    server.close();
  }

  private void accept(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(body -> serve(ctx, draining ? CallFault.REFUSE_LEAVING : faults.next()));
  }

  private void serve(Context ctx, CallFault fault) {
    if (fault == CallFault.REFUSE_LEAVING || fault == CallFault.REFUSE_FULL) {
      ctx.getResponse().getHeaders().set(ApiHeaders.NOT_RUN, "true");
      ctx.getResponse().status(fault == CallFault.REFUSE_FULL ? 429 : 503).send();
      return;
    }
    if (fault == CallFault.DIE_BEFORE_RUN) {
      FakeServer.closeNow(ctx);
      return;
    }
    String requestId = ctx.getRequest().getHeaders().get(ApiHeaders.UPSTREAM_REQUEST_ID);
    String operation = ctx.getPathTokens().get("operation");
    Entry entry = new Entry(operation, requestId, nextNumber.incrementAndGet());
    log.add(entry);
    Promise.value(entry).defer(delay).then(e -> answer(ctx, e, fault));
  }

  private static void answer(Context ctx, Entry entry, CallFault fault) {
    if (fault == CallFault.DIE_AFTER_RUN) {
      FakeServer.closeNow(ctx);
    } else if (fault == CallFault.DIE_AFTER_HEAD || fault == CallFault.DIE_IN_BODY) {
      sendPart(ctx, fault == CallFault.DIE_IN_BODY ? "{\"oper" : "");
    } else {
      ctx.getResponse().send("application/json", Json.toText(entry));
    }
  }

  private static void sendPart(Context ctx, String part) {
    ByteBuf bytes = Unpooled.copiedBuffer(part, StandardCharsets.UTF_8);
    ctx.getResponse().contentType("application/json");
    if (part.isEmpty()) {
      ctx.getResponse().getHeaders().set("Transfer-Encoding", "chunked");
    } else {
      ctx.getResponse().getHeaders().set("Content-Length", PARTIAL_LENGTH);
    }
    ctx.getResponse()
        .sendStream(
            Streams.flatYield(
                request ->
                    request.getRequestNum() == 0
                        ? Promise.value(bytes)
                        : Promise.async(downstream -> FakeServer.closeAfterWrites(ctx))));
  }

  private void load(Context ctx) {
    EngineLoad load = new EngineLoad(0, 0, 0, 0, draining);
    ctx.getResponse().send("application/json", Json.toText(load));
  }
}
