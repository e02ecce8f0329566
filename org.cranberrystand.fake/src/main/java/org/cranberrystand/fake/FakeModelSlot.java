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
 * Model management of a fake engine: reports the loaded model and carries out load orders.
 *
 * <p>Safe for use by several threads.
 */
public final class FakeModelSlot {

  /**
   * An order that the engine received.
   *
   * @param order the order
   * @param fencingNumber its fencing number
   * @param accepted whether the engine carried it out
   */
  public record ReceivedOrder(ModelOrder order, long fencingNumber, boolean accepted) {}

  private record LoadedModel(ModelOrder model, long readyAtNanos, long highestFencingNumber) {}

  private final boolean checksFencing;
  private final Duration loadTime;
  private final HostAndPort weightStore;
  private final AtomicReference<LoadedModel> loadedModel;
  private final Queue<ReceivedOrder> receivedOrders = new ConcurrentLinkedQueue<>();

  /**
   * Creates a slot that serves a model.
   *
   * @param initial the model that is loaded at the start
   * @param checksFencing whether an order with an old fencing number is refused
   * @param loadTime the time that loading a model takes
   * @param weightStore the address of the weight store
   */
  public FakeModelSlot(
      ModelOrder initial, boolean checksFencing, Duration loadTime, HostAndPort weightStore) {
    this.checksFencing = checksFencing;
    this.loadTime = loadTime;
    this.weightStore = weightStore;
    this.loadedModel = new AtomicReference<>(new LoadedModel(initial, System.nanoTime(), 0));
  }

  /**
   * Returns all orders that the engine received.
   *
   * @return the orders in the order of arrival
   */
  public List<ReceivedOrder> receivedOrders() {
    return ImmutableList.copyOf(receivedOrders);
  }

  /**
   * Returns the model that the engine serves.
   *
   * @return the status as reported to nodes
   */
  public ModelStatus status() {
    LoadedModel current = loadedModel.get();
    return new ModelStatus(
        current.model().model(),
        current.model().version(),
        current.model().adapters(),
        current.model().role(),
        System.nanoTime() < current.readyAtNanos(),
        current.highestFencingNumber());
  }

  void report(Context ctx) {
    ctx.getResponse().send("application/json", Json.toText(status()));
  }

  void handleOrder(Context ctx) {
    String header = ctx.getRequest().getHeaders().get(ApiHeaders.FENCING_NUMBER);
    long fencingNumber = header == null ? 0 : Long.parseLong(header);
    ctx.getRequest()
        .getBody()
        .then(body -> carryOut(ctx, Json.read(body.getBytes(), ModelOrder.class), fencingNumber));
  }

  private void carryOut(Context ctx, ModelOrder order, long fencingNumber) {
    if (checksFencing && fencingNumber <= loadedModel.get().highestFencingNumber()) {
      receivedOrders.add(new ReceivedOrder(order, fencingNumber, false));
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
              receivedOrders.add(new ReceivedOrder(order, fencingNumber, loaded));
              if (loaded) {
                loadModel(order, fencingNumber);
              }
              ctx.getResponse().status(loaded ? 202 : 429).send();
            });
  }

  private void loadModel(ModelOrder order, long fencingNumber) {
    long readyAtNanos = System.nanoTime() + loadTime.toNanos();
    loadedModel.updateAndGet(
        old ->
            new LoadedModel(
                order, readyAtNanos, Math.max(fencingNumber, old.highestFencingNumber())));
  }
}
