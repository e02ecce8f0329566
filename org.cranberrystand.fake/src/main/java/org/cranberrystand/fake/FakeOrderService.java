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
 * Fake plain service for orders, reservations and stock.
 *
 * <p>Runs every request it receives without deduplication, so that a request that is sent twice
 * appears twice in {@link #executedOperations}. Safe for use by several threads.
 */
public final class FakeOrderService implements AutoCloseable {

  /**
   * One operation that the service ran.
   *
   * @param operation the name of the operation
   * @param requestId the identifier sent with it
   * @param number the position in the order of execution
   */
  public record ExecutedOperation(String operation, String requestId, long number) {}

  // Longer than the part of the body that is sent, so that the caller sees a truncated answer.
  private static final int ANNOUNCED_BODY_BYTES = 100;

  private final String name;
  private final FakeServer server;
  private final Queue<ExecutedOperation> executedOperations = new ConcurrentLinkedQueue<>();
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
                        ctx ->
                            ctx.getResponse()
                                .send("application/json", Json.toText(executedOperations())))
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
   * Returns all operations that the service ran.
   *
   * @return the operations in the order of execution
   */
  public List<ExecutedOperation> executedOperations() {
    return ImmutableList.copyOf(executedOperations);
  }

  /**
   * Injects a fault into the next calls.
   *
   * @param fault the fault
   * @param times the number of calls to affect
   */
  public void injectFault(CallFault fault, int times) {
    faults.add(fault, times);
  }

  /** Removes the faults that have not happened yet. */
  public void clearFaults() {
    faults.clear();
  }

  /**
   * Sets the duration of an operation.
   *
   * @param value the delay between running an operation and answering
   */
  public void setDelay(Duration value) {
    this.delay = value;
  }

  /**
   * Makes the service report that it is draining and refuse new requests.
   *
   * @param value true to drain
   */
  public void setDraining(boolean value) {
    this.draining = value;
  }

  /** Simulates a crash of the process. */
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
    ExecutedOperation executed =
        new ExecutedOperation(operation, requestId, nextNumber.incrementAndGet());
    executedOperations.add(executed);
    Promise.value(executed).defer(delay).then(e -> answer(ctx, e, fault));
  }

  private static void answer(Context ctx, ExecutedOperation executed, CallFault fault) {
    if (fault == CallFault.DIE_AFTER_RUN) {
      FakeServer.closeNow(ctx);
    } else if (fault == CallFault.DIE_AFTER_HEAD || fault == CallFault.DIE_IN_BODY) {
      sendPartialBody(ctx, fault == CallFault.DIE_IN_BODY ? "{\"oper" : "");
    } else {
      ctx.getResponse().send("application/json", Json.toText(executed));
    }
  }

  private static void sendPartialBody(Context ctx, String part) {
    ByteBuf bytes = Unpooled.copiedBuffer(part, StandardCharsets.UTF_8);
    ctx.getResponse().contentType("application/json");
    if (part.isEmpty()) {
      ctx.getResponse().getHeaders().set("Transfer-Encoding", "chunked");
    } else {
      ctx.getResponse().getHeaders().set("Content-Length", ANNOUNCED_BODY_BYTES);
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
