package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.order.EngineOrder;
import org.cranberrystand.order.EngineState;
import org.cranberrystand.order.OrderPlanner;
import org.cranberrystand.order.OrderResult;
import org.cranberrystand.order.PlanInput;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.util.SerialExecutor;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.engine.ModelOrder;
import org.cranberrystand.wire.engine.ModelStatus;
import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.exec.util.ParallelBatch;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Reads the models of engines, gives the planned orders and reads again.
 *
 * <p>Engines of pools without deployments are left alone. Safe for use by several threads; the
 * planner runs on one thread at a time.
 */
public final class EngineOrders implements AutoCloseable {

  /**
   * What the planner needs to know of the service of each pool.
   *
   * @param urgentLoadByPool the part of each pool's capacity that urgent work takes
   * @param goodputByPool the part of each pool's requests that were answered in time lately
   */
  public record PoolHealth(
      ImmutableMap<String, Double> urgentLoadByPool, ImmutableMap<String, Double> goodputByPool) {}

  private static final Duration ROUND = Duration.ofSeconds(1);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_MANY = 429;

  private final NodeState state;
  private final ExecController exec;
  private final EventLog log;
  private final BooleanSupplier viewConfirmed;
  private final Supplier<PoolHealth> health;
  private final OrderPlanner planner;
  private final SerialExecutor planning;
  private final HttpClient client;
  private final Map<String, EngineState> engineStates = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates the loop.
   *
   * @param state the state of the node
   * @param exec runs the calls
   * @param log receives orders and failures
   * @param viewConfirmed tells whether the view of the node was confirmed since the last pause
   * @param health supplies the service of each pool
   * @throws Exception if the client cannot be created
   */
  public EngineOrders(
      NodeState state,
      ExecController exec,
      EventLog log,
      BooleanSupplier viewConfirmed,
      Supplier<PoolHealth> health)
      throws Exception {
    this.state = state;
    this.exec = exec;
    this.log = log;
    this.viewConfirmed = viewConfirmed;
    this.health = health;
    this.planner = new OrderPlanner(state.incarnation());
    this.planning =
        new SerialExecutor(cause -> log.write(LogEvent.TASK_FAILED, "task=orders", cause));
    this.client =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .connectTimeout(CALL_TIMEOUT)
                    .readTimeout(CALL_TIMEOUT));
  }

  /** Starts the rounds. */
  public void start() {
    scheduleRound();
  }

  @Override
  public void close() {
    closed = true;
    client.close();
  }

  private void scheduleRound() {
    if (closed) {
      return;
    }
    exec.fork()
        .onError(cause -> log.write(LogEvent.TASK_FAILED, "task=orders", cause))
        .onComplete(execution -> scheduleRound())
        .start(
            execution ->
                Promise.value(true)
                    .defer(ROUND)
                    .flatMap(ignored -> readAll())
                    .then(ignored -> planning.execute(this::planAndSend)));
  }

  private Promise<Integer> readAll() {
    List<Promise<Boolean>> reads = new ArrayList<>();
    for (UpstreamRecord upstream : managedEngines()) {
      reads.add(read(upstream));
    }
    return ParallelBatch.of(reads).yieldAll().map(results -> results.size());
  }

  private List<UpstreamRecord> managedEngines() {
    Bundle bundle = state.bundles().current().orElse(null);
    if (bundle == null) {
      return List.of();
    }
    return state.directory().get().all().stream()
        .filter(upstream -> !bundle.deployments(upstream.pool()).isEmpty())
        .toList();
  }

  private Promise<Boolean> read(UpstreamRecord upstream) {
    return client
        .get(URI.create("http://" + upstream.address() + "/v1/models"))
        .map(response -> remember(upstream, response))
        .mapError(cause -> engineStates.remove(upstream.name()) != null);
  }

  private boolean remember(UpstreamRecord upstream, ReceivedResponse response) throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("status " + response.getStatusCode());
    }
    ModelStatus status = Json.read(response.getBody().getBytes(), ModelStatus.class);
    engineStates.put(upstream.name(), status.toState(upstream.name(), state.clock().nowNanos()));
    return true;
  }

  private void planAndSend() {
    Bundle bundle = state.bundles().current().orElse(null);
    if (bundle == null || state.leaving().get()) {
      return;
    }
    PoolHealth current = health.get();
    PlanInput input =
        new PlanInput(
            bundle,
            liveNodes(),
            viewConfirmed.getAsBoolean(),
            state.directory().get(),
            ImmutableMap.copyOf(engineStates),
            current.urgentLoadByPool(),
            current.goodputByPool());
    ImmutableSet<String> haltedBefore = ImmutableSet.copyOf(planner.haltedPools());
    planner.plan(input, state.clock().nowNanos()).forEach(this::send);
    for (String pool : planner.haltedPools()) {
      if (!haltedBefore.contains(pool)) {
        log.write(LogEvent.MODEL_ROLLOUT_HALTED, "pool=" + pool);
      }
    }
  }

  private ImmutableSet<String> liveNodes() {
    ImmutableSet.Builder<String> nodes = ImmutableSet.builder();
    nodes.add(state.settings().node());
    for (MemberRecord member : state.membership().get().all()) {
      if (member.state().acceptsCallers()) {
        nodes.add(member.node());
      }
    }
    return nodes.build();
  }

  private void send(EngineOrder order) {
    UpstreamRecord upstream = state.directory().get().find(order.engine()).orElse(null);
    if (upstream == null) {
      finish(order, OrderResult.FAILED);
      return;
    }
    URI uri = URI.create("http://" + upstream.address() + "/v1/orders");
    byte[] body = Json.toBytes(ModelOrder.of(order.target()));
    exec.fork()
        .start(
            execution ->
                client
                    .request(
                        uri,
                        spec -> {
                          spec.post().body(b -> b.type("application/json").bytes(body));
                          spec.getHeaders()
                              .set(ApiHeaders.FENCING_NUMBER, Long.toString(order.fencingNumber()));
                        })
                    .map(response -> resultOf(response.getStatusCode()))
                    .mapError(cause -> OrderResult.FAILED)
                    .then(result -> finish(order, result)));
  }

  private static OrderResult resultOf(int status) {
    if (status / 100 == 2) {
      return OrderResult.ACCEPTED;
    }
    return switch (status) {
      case STATUS_CONFLICT -> OrderResult.FENCED;
      case STATUS_TOO_MANY -> OrderResult.RATE_LIMITED;
      default -> OrderResult.FAILED;
    };
  }

  private void finish(EngineOrder order, OrderResult result) {
    log.write(
        LogEvent.ENGINE_ORDERED,
        "upstream="
            + order.engine()
            + " model="
            + order.target().model()
            + " version="
            + order.target().version()
            + " fencing="
            + order.fencingNumber()
            + " result="
            + result);
    planning.execute(() -> planner.onResult(order, result, state.clock().nowNanos()));
  }
}
