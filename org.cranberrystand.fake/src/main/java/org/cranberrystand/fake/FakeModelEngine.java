package org.cranberrystand.fake;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.primitives.ImmutableLongArray;
import io.netty.channel.Channel;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.CompletionRequest;
import org.cranberrystand.wire.http.EngineLoad;
import org.cranberrystand.wire.http.PrefixBlocks;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.TypedData;

/**
 * Fake language-model engine with continuous batching that streams one event per token.
 *
 * <p>A stream continues after its connection ends and can be resumed or cancelled. Speeds, faults,
 * refusals and crashes can be set at any time. Safe for use by several threads.
 */
public final class FakeModelEngine implements AutoCloseable {
  private static final int CHARS_PER_TOKEN = 4;
  private static final int DEFAULT_OUTPUT_TOKENS = 16;
  private static final int CACHE_BLOCKS = 4_096;

  private final String name;
  private final EngineBatch batch;
  private final FakeServer server;
  private final PrefixCache cache = new PrefixCache(CACHE_BLOCKS);
  private final Queue<String> executedRequestIds = new ConcurrentLinkedQueue<>();
  private final Queue<String> cancelledRequestIds = new ConcurrentLinkedQueue<>();
  private final AtomicInteger resumeCount = new AtomicInteger();
  private final Map<String, EngineStream> streams = new ConcurrentHashMap<>();
  private final AtomicLong lastStreamNumber = new AtomicLong();
  private final FaultQueue<CallFault> callFaults = new FaultQueue<>(CallFault.NONE);
  private final FaultQueue<StreamFault> streamFaults = new FaultQueue<>(StreamFault.NONE);
  private volatile boolean draining;
  private volatile String crashContent;
  private volatile FakeModelSlot slot;

  /**
   * Starts an engine.
   *
   * @param name the name of the VM
   * @param speed the speed of the engine
   * @throws Exception if the server cannot be started
   */
  public FakeModelEngine(String name, EngineSpeed speed) throws Exception {
    this(name, speed, 0);
  }

  /**
   * Starts an engine.
   *
   * @param name the name of the VM
   * @param speed the speed of the engine
   * @param port the port on loopback; 0 takes any free port
   * @throws Exception if the server cannot be started
   */
  public FakeModelEngine(String name, EngineSpeed speed, int port) throws Exception {
    this.name = name;
    this.batch = new EngineBatch(speed);
    this.server = new FakeServer(port, handlers());
  }

  public String name() {
    return name;
  }

  public HostAndPort address() {
    return server.address();
  }

  /**
   * Returns the identifiers of all requests that the engine ran.
   *
   * @return the identifiers in the order of arrival
   */
  public List<String> executedRequestIds() {
    return ImmutableList.copyOf(executedRequestIds);
  }

  /**
   * Returns the identifiers of all requests whose streams were cancelled.
   *
   * @return the identifiers in the order of cancellation
   */
  public List<String> cancelledRequestIds() {
    return ImmutableList.copyOf(cancelledRequestIds);
  }

  /**
   * Returns the number of calls that resumed a stream.
   *
   * @return the count since the start
   */
  public int resumeCount() {
    return resumeCount.get();
  }

  /**
   * Makes the engine report that it is draining and refuse new requests.
   *
   * @param value true to drain
   */
  public void setDraining(boolean value) {
    this.draining = value;
  }

  /**
   * Slows the engine down.
   *
   * @param factor the factor by which every duration grows
   */
  public void setSlowdown(double factor) {
    batch.setSlowdown(factor);
  }

  /**
   * Sets the age of the figures in load reports.
   *
   * @param millis the age in milliseconds
   */
  public void setLoadReportLagMillis(long millis) {
    batch.setReportLagMillis(millis);
  }

  /**
   * Sets how cache events are published.
   *
   * @param lagMillis the delay until an event is visible, in milliseconds
   * @param lossInterval every n-th event is dropped; 0 drops none
   */
  public void setCacheReporting(long lagMillis, int lossInterval) {
    cache.setReporting(lagMillis, lossInterval);
  }

  /**
   * Makes the engine crash when a prompt contains the given text.
   *
   * @param text the text; null for none
   */
  public void setCrashContent(String text) {
    this.crashContent = text;
  }

  /**
   * Injects a fault into the next completion calls.
   *
   * @param fault the fault
   * @param times the number of calls to affect
   */
  public void injectCallFault(CallFault fault, int times) {
    callFaults.add(fault, times);
  }

  /**
   * Injects a fault into the next connections that carry a stream.
   *
   * @param fault the fault
   * @param times the number of connections to affect
   */
  public void injectStreamFault(StreamFault fault, int times) {
    streamFaults.add(fault, times);
  }

  /**
   * Enables model management: the engine reports its model and carries out orders.
   *
   * @param value the model management; null disables it
   */
  public void setModelSlot(FakeModelSlot value) {
    this.slot = value;
  }

  /** Simulates a crash of the process. */
  public void crash() {
    batch.close();
    server.crash();
  }

  @Override
  public void close() throws Exception {
    batch.close();
    server.close();
  }

  private Action<Chain> handlers() {
    return chain ->
        chain
            .post("v1/completions", this::handleCompletion)
            .path(
                "v1/streams/:id",
                ctx -> ctx.byMethod(spec -> spec.get(this::resume).delete(this::cancel)))
            .get("v1/load", this::load)
            .get("v1/cache-events", this::cacheEvents)
            .path("v1/models", ctx -> withSlot(ctx, FakeModelSlot::report))
            .path("v1/orders", ctx -> withSlot(ctx, FakeModelSlot::handleOrder))
            .get(
                "v1/log",
                ctx ->
                    ctx.getResponse().send("application/json", Json.toText(executedRequestIds())));
  }

  private void withSlot(Context ctx, BiConsumer<FakeModelSlot, Context> handler) {
    FakeModelSlot current = slot;
    if (current == null) {
      ctx.getResponse().status(404).send();
    } else {
      handler.accept(current, ctx);
    }
  }

  private void handleCompletion(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            body ->
                applyCallFault(ctx, body, draining ? CallFault.REFUSE_LEAVING : callFaults.next()));
  }

  private void applyCallFault(Context ctx, TypedData body, CallFault fault) throws Exception {
    if (fault == CallFault.REFUSE_LEAVING || fault == CallFault.REFUSE_FULL) {
      ctx.getResponse().getHeaders().set(ApiHeaders.NOT_RUN, "true");
      ctx.getResponse().status(fault == CallFault.REFUSE_FULL ? 429 : 503).send();
    } else if (fault == CallFault.DIE_BEFORE_RUN) {
      FakeServer.closeNow(ctx);
    } else {
      run(ctx, CompletionRequest.parse(body.getBytes()), fault);
    }
  }

  private void run(Context ctx, CompletionRequest request, CallFault fault) {
    String requestId = ctx.getRequest().getHeaders().get(ApiHeaders.UPSTREAM_REQUEST_ID);
    executedRequestIds.add(String.valueOf(requestId));
    String crashText = crashContent;
    if (crashText != null && request.prompt().contains(crashText)) {
      crash();
      return;
    }
    if (fault == CallFault.DIE_AFTER_RUN) {
      FakeServer.closeNow(ctx);
      return;
    }
    EngineStream stream = start(requestId, request);
    if (request.stream()) {
      ctx.getResponse().getHeaders().set(ApiHeaders.STREAM_ID, stream.id());
      send(ctx, stream, 0, streamFaultFor(fault));
    } else {
      sendDocument(ctx, stream);
    }
  }

  private EngineStream start(String requestId, CompletionRequest request) {
    int outputTokens = request.maxTokens() > 0 ? request.maxTokens() : DEFAULT_OUTPUT_TOKENS;
    int promptTokens = request.prompt().length() / CHARS_PER_TOKEN + 1;
    ImmutableLongArray blocks = PrefixBlocks.hashesOf(request.prompt());
    int cachedTokens = cache.lookUpAndStore(blocks) * (PrefixBlocks.BLOCK_CHARS / CHARS_PER_TOKEN);
    String streamId = name + "-" + lastStreamNumber.incrementAndGet();
    EngineStream stream = new EngineStream(streamId, requestId, outputTokens);
    streams.put(streamId, stream);
    batch.run(stream, promptTokens, cachedTokens);
    return stream;
  }

  private StreamFault streamFaultFor(CallFault fault) {
    return switch (fault) {
      case DIE_AFTER_HEAD -> new StreamFault(StreamFault.Type.CLOSE_BEFORE_EVENT, 0);
      case DIE_IN_BODY -> new StreamFault(StreamFault.Type.CLOSE_AFTER_BYTES, 10);
      default -> streamFaults.next();
    };
  }

  private void resume(Context ctx) {
    EngineStream stream = streams.get(ctx.getPathTokens().get("id"));
    resumeCount.incrementAndGet();
    int from = Integer.parseInt(ctx.getRequest().getQueryParams().getOrDefault("from", "0"));
    if (stream == null || stream.isCancelled()) {
      ctx.getResponse().status(404).send();
    } else if (from > stream.totalTokens()) {
      ctx.getResponse().status(416).send();
    } else {
      ctx.getResponse().getHeaders().set(ApiHeaders.STREAM_ID, stream.id());
      send(ctx, stream, from, streamFaults.next());
    }
  }

  private void cancel(Context ctx) {
    EngineStream stream = streams.get(ctx.getPathTokens().get("id"));
    if (stream != null && stream.cancel()) {
      cancelledRequestIds.add(stream.requestId());
      ctx.getResponse().status(204).send();
    } else {
      ctx.getResponse().status(404).send();
    }
  }

  private void send(Context ctx, EngineStream stream, int from, StreamFault fault) {
    Channel channel = FakeServer.channel(ctx);
    ctx.getResponse().contentType(ApiHeaders.EVENT_STREAM);
    ctx.getResponse().getHeaders().set("Transfer-Encoding", "chunked");
    ctx.getResponse()
        .sendStream(
            new StreamConnection(
                stream, from, channel, fault, () -> FakeServer.closeAfterWrites(ctx)));
  }

  private static void sendDocument(Context ctx, EngineStream stream) {
    CompletableFuture<String> text = new CompletableFuture<>();
    Runnable listener =
        () -> {
          if (stream.isEnded()) {
            text.complete(stream.toDocument());
          }
        };
    stream.addListener(listener);
    listener.run();
    Promise.toPromise(text).then(t -> ctx.getResponse().send("application/json", t));
  }

  private void load(Context ctx) {
    EngineBatch.LoadSnapshot snapshot = batch.reportedLoad();
    EngineLoad load =
        new EngineLoad(
            batch.reportLagMillis(), snapshot.sequences(), 0, snapshot.tokens(), draining);
    ctx.getResponse().send("application/json", Json.toText(load));
  }

  private void cacheEvents(Context ctx) {
    long after = Long.parseLong(ctx.getRequest().getQueryParams().getOrDefault("after", "0"));
    ctx.getResponse().send("application/json", Json.toText(cache.eventsAfter(after)));
  }
}
