package org.cranberrystand.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.reactivestreams.Publisher;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.TypedData;
import ratpack.stream.Streams;

/**
 * Language-model engine that streams one event per token.
 *
 * <p>Speeds, slow-down, refusals and crashes can be set at any time. Safe for use by several
 * threads.
 */
public final class FakeModelEngine implements AutoCloseable {
  private static final int CHARS_PER_TOKEN = 4;
  private static final int DEFAULT_OUTPUT_TOKENS = 16;

  private record Stream(String requestId, int tokens) {}

  private final String name;
  private final EngineSpeed speed;
  private final FakeServer server;
  private final Queue<String> log = new ConcurrentLinkedQueue<>();
  private final Map<String, Stream> streams = new ConcurrentHashMap<>();
  private final AtomicLong nextStream = new AtomicLong();
  private final AtomicInteger running = new AtomicInteger();
  private volatile boolean draining;
  private volatile double slowdown = 1;

  /**
   * Starts an engine.
   *
   * @param name the name of the VM
   * @param speed how fast it is
   * @throws Exception if the server cannot be started
   */
  public FakeModelEngine(String name, EngineSpeed speed) throws Exception {
    this(name, speed, 0);
  }

  /**
   * Starts an engine.
   *
   * @param name the name of the VM
   * @param speed how fast it is
   * @param port the port on loopback; 0 takes any free port
   * @throws Exception if the server cannot be started
   */
  public FakeModelEngine(String name, EngineSpeed speed, int port) throws Exception {
    this.name = name;
    this.speed = speed;
    this.server = new FakeServer(port, handlers());
  }

  public String name() {
    return name;
  }

  public HostAndPort address() {
    return server.address();
  }

  /**
   * Returns the identifiers of all requests that were run.
   *
   * @return the identifiers in the order of arrival
   */
  public List<String> log() {
    return ImmutableList.copyOf(log);
  }

  /**
   * Makes the engine report that it is leaving and refuse new requests.
   *
   * @param value true to leave
   */
  public void setDraining(boolean value) {
    this.draining = value;
  }

  /**
   * Slows the engine down.
   *
   * @param factor how many times longer everything takes
   */
  public void setSlowdown(double factor) {
    this.slowdown = factor;
  }

  @Override
  public void close() throws Exception {
    server.close();
  }

  private Action<Chain> handlers() {
    return chain ->
        chain
            .post("v1/completions", this::complete)
            .get("v1/streams/:id", this::resume)
            .get("v1/load", this::load)
            .get("v1/log", ctx -> ctx.getResponse().send("application/json", Json.toText(log())));
  }

  private void complete(Context ctx) {
    if (draining) {
      ctx.getResponse().getHeaders().set(ApiHeaders.NOT_RUN, "true");
      ctx.getResponse().status(503).send();
      return;
    }
    ctx.getRequest().getBody().then(body -> run(ctx, body));
  }

  private void run(Context ctx, TypedData body) throws Exception {
    JsonNode request = Json.readTree(body.getBytes());
    String requestId = ctx.getRequest().getHeaders().get(ApiHeaders.UPSTREAM_REQUEST_ID);
    int promptTokens = request.path("prompt").asText().length() / CHARS_PER_TOKEN + 1;
    int outputTokens = request.path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS);
    log.add(String.valueOf(requestId));
    String streamId = name + "-" + nextStream.incrementAndGet();
    streams.put(streamId, new Stream(requestId, outputTokens));
    ctx.getResponse().getHeaders().set(ApiHeaders.STREAM_ID, streamId);
    send(ctx, streamId, 0, speed.prefill(promptTokens));
  }

  private void resume(Context ctx) {
    String streamId = ctx.getPathTokens().get("id");
    if (!streams.containsKey(streamId)) {
      ctx.getResponse().status(404).send();
      return;
    }
    int from = Integer.parseInt(ctx.getRequest().getQueryParams().getOrDefault("from", "0"));
    ctx.getResponse().getHeaders().set(ApiHeaders.STREAM_ID, streamId);
    send(ctx, streamId, from, Duration.ZERO);
  }

  private void send(Context ctx, String streamId, int from, Duration prefill) {
    Stream stream = streams.get(streamId);
    running.incrementAndGet();
    ctx.onClose(outcome -> running.decrementAndGet());
    Duration gap = Duration.ofNanos((long) (speed.tokenGap().toNanos() * slowdown));
    Duration wait = Duration.ofNanos((long) (prefill.toNanos() * slowdown));
    Publisher<ByteBuf> events =
        Streams.periodically(
            ctx.getExecution().getController().getExecutor(),
            gap,
            i -> from + i <= stream.tokens() ? event(stream, from + i) : null);
    ctx.getResponse().contentType(ApiHeaders.EVENT_STREAM);
    ratpack.exec.Promise.value(events)
        .defer(wait)
        .then(publisher -> ctx.getResponse().sendStream(publisher));
  }

  private static ByteBuf event(Stream stream, int index) {
    String data =
        index < stream.tokens()
            ? Json.toText(new Token(stream.requestId(), "t" + index + " "))
            : "[DONE]";
    String text = "id: " + index + "\ndata: " + data + "\n\n";
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  private void load(Context ctx) {
    Load load = new Load(0, running.get(), 0, 0, draining);
    ctx.getResponse().send("application/json", Json.toText(load));
  }

  private record Token(String request, String text) {}

  private record Load(
      long asOfMillisAgo,
      int runningSequences,
      int waitingSequences,
      long runningTokens,
      boolean draining) {}
}
