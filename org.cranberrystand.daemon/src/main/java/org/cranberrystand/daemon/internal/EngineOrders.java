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
 * Periodically reads which models the engines serve, plans orders and sends them to the engines.
 *
 * <p>Engines of pools without deployments are not managed. Safe for use by several threads; the
 * planner runs on one thread at a time.
 */
public final class EngineOrders implements AutoCloseable {

  /**
   * Health of the pools, as input of the planner.
   *
   * @param urgentLoadByPool the fraction of each pool's capacity that urgent work uses
   * @param goodputByPool the fraction of each pool's recent requests that were answered in time
   */
  public record PoolHealth(
      ImmutableMap<String, Double> urgentLoadByPool, ImmutableMap<String, Double> goodputByPool) {}

  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;

  private final NodeState state;
  private final ExecController exec;
  private final EventLog log;
  private final BooleanSupplier isViewConfirmed;
  private final Supplier<PoolHealth> poolHealth;
  private final OrderPlanner planner;
  private final SerialExecutor plannerExecutor;
  private final HttpClient client;
  private final Map<String, EngineState> engineStates = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates the order loop; {@link #start} starts it.
   *
   * @param state the state of the node
   * @param exec runs the calls
   * @param log receives orders and failures
   * @param isViewConfirmed returns whether the view of the node was confirmed since the last pause
   * @param poolHealth supplies the current health of the pools
   * @throws Exception if the client cannot be created
   */
  public EngineOrders(
      NodeState state,
      ExecController exec,
      EventLog log,
      BooleanSupplier isViewConfirmed,
      Supplier<PoolHealth> poolHealth)
      throws Exception {
    this.state = state;
    this.exec = exec;
    this.log = log;
    this.isViewConfirmed = isViewConfirmed;
    this.poolHealth = poolHealth;
    this.planner = new OrderPlanner(state.incarnation());
    this.plannerExecutor =
        new SerialExecutor(cause -> log.write(LogEvent.TASK_FAILED, "task=orders", cause));
    this.client =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .connectTimeout(CALL_TIMEOUT)
                    .readTimeout(CALL_TIMEOUT));
  }

  /** Starts the periodic rounds. */
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
                    .defer(ROUND_INTERVAL)
                    .flatMap(ignored -> readAllModels())
                    .then(ignored -> plannerExecutor.execute(this::planAndSend)));
  }

  private Promise<Integer> readAllModels() {
    List<Promise<Boolean>> calls = new ArrayList<>();
    for (UpstreamRecord upstream : managedEngines()) {
      calls.add(readModels(upstream));
    }
    return ParallelBatch.of(calls).yieldAll().map(results -> results.size());
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

  private Promise<Boolean> readModels(UpstreamRecord upstream) {
    return client
        .get(URI.create("http://" + upstream.address() + "/v1/models"))
        .map(response -> updateState(upstream, response))
        .mapError(cause -> engineStates.remove(upstream.name()) != null);
  }

  private boolean updateState(UpstreamRecord upstream, ReceivedResponse response)
      throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException(
          "unexpected HTTP status " + response.getStatusCode() + " from " + upstream.name());
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
    PoolHealth current = poolHealth.get();
    PlanInput input =
        new PlanInput(
            bundle,
            liveNodes(),
            isViewConfirmed.getAsBoolean(),
            state.directory().get(),
            ImmutableMap.copyOf(engineStates),
            current.urgentLoadByPool(),
            current.goodputByPool());
    ImmutableSet<String> previouslyHalted = ImmutableSet.copyOf(planner.haltedPools());
    planner.plan(input, state.clock().nowNanos()).forEach(this::send);
    for (String pool : planner.haltedPools()) {
      if (!previouslyHalted.contains(pool)) {
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
      recordResult(order, OrderResult.FAILED);
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
                    .then(result -> recordResult(order, result)));
  }

  private static OrderResult resultOf(int status) {
    if (status / 100 == 2) {
      return OrderResult.ACCEPTED;
    }
    return switch (status) {
      case STATUS_CONFLICT -> OrderResult.FENCED;
      case STATUS_TOO_MANY_REQUESTS -> OrderResult.RATE_LIMITED;
      default -> OrderResult.FAILED;
    };
  }

  private void recordResult(EngineOrder order, OrderResult result) {
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
    plannerExecutor.execute(() -> planner.onResult(order, result, state.clock().nowNanos()));
  }
}
