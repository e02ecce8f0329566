package org.cranberrystand.fake;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.engine.ModelOrder;
import org.cranberrystand.wire.engine.ModelStatus;
import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.handling.Context;
import ratpack.http.client.HttpClient;

/**
 * Model management of a fake engine: reports what it serves and follows orders.
 *
 * <p>Safe for use by several threads.
 */
public final class FakeModelSlot {

  /**
   * An order that was received.
   *
   * @param order the order
   * @param fencingNumber its fencing number
   * @param accepted whether the engine followed it
   */
  public record Received(ModelOrder order, long fencingNumber, boolean accepted) {}

  private record Held(ModelOrder model, long readyAtNanos, long highestFencingNumber) {}

  private final boolean checksFencing;
  private final Duration loadTime;
  private final HostAndPort weightStore;
  private final AtomicReference<Held> held;
  private final Queue<Received> received = new ConcurrentLinkedQueue<>();

  /**
   * Creates a slot that serves a model.
   *
   * @param initial what it serves
   * @param checksFencing whether it refuses orders with an old fencing number
   * @param loadTime how long loading takes
   * @param weightStore where it reads weights
   */
  public FakeModelSlot(
      ModelOrder initial, boolean checksFencing, Duration loadTime, HostAndPort weightStore) {
    this.checksFencing = checksFencing;
    this.loadTime = loadTime;
    this.weightStore = weightStore;
    this.held = new AtomicReference<>(new Held(initial, System.nanoTime(), 0));
  }

  /**
   * Returns all orders that arrived.
   *
   * @return the orders in the order of arrival
   */
  public List<Received> received() {
    return ImmutableList.copyOf(received);
  }

  /**
   * Returns what the engine serves.
   *
   * @return the status as reported to nodes
   */
  public ModelStatus status() {
    Held now = held.get();
    return new ModelStatus(
        now.model().model(),
        now.model().version(),
        now.model().adapters(),
        now.model().role(),
        System.nanoTime() < now.readyAtNanos(),
        now.highestFencingNumber());
  }

  void report(Context ctx) {
    ctx.getResponse().send("application/json", Json.toText(status()));
  }

  void receive(Context ctx) {
    String header = ctx.getRequest().getHeaders().get(ApiHeaders.FENCING_NUMBER);
    long number = header == null ? 0 : Long.parseLong(header);
    ctx.getRequest()
        .getBody()
        .then(body -> follow(ctx, Json.read(body.getBytes(), ModelOrder.class), number));
  }

  private void follow(Context ctx, ModelOrder order, long number) {
    if (checksFencing && number <= held.get().highestFencingNumber()) {
      received.add(new Received(order, number, false));
      ctx.getResponse().status(409).send();
      return;
    }
    URI weights =
        URI.create(
            "http://" + weightStore + "/v1/weights/" + order.model() + "/" + order.version());
    ctx.get(HttpClient.class)
        .get(weights)
        .then(
            response -> {
              boolean loaded = response.getStatusCode() == 200;
              received.add(new Received(order, number, loaded));
              if (loaded) {
                load(order, number);
              }
              ctx.getResponse().status(loaded ? 202 : 429).send();
            });
  }

  private void load(ModelOrder order, long number) {
    long readyAtNanos = System.nanoTime() + loadTime.toNanos();
    held.updateAndGet(
        old -> new Held(order, readyAtNanos, Math.max(number, old.highestFencingNumber())));
  }
}
