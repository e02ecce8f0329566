package org.cranberrystand.routing;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public final class RouteHistoryTest {
  private static final long WINDOW = 100;

  private static RoutingTable table(long version, String... pools) {
    Route.Builder route =
        Route.builder("chat", RouteKind.STREAMING).match("shop.example", "/chat/");
    for (String pool : pools) {
      route.pool(pool, 1);
    }
    return RoutingTable.builder(version).route(route.build()).build();
  }

  private static Optional<String> pool(RouteHistory history, long nowNanos) {
    return history.solePool("shop.example", "/chat/1", WINDOW, nowNanos);
  }

  /** Guards against resuming a stream at the pool to which its route went only later. */
  @Test
  public void movedRouteHasNoSolePoolUntilItsStreamsAreTooOld() {
    RouteHistory moved = new RouteHistory();
    moved.declared(table(1, "old"), 0);
    assertEquals(pool(moved, 1), Optional.of("old"));
    moved.declared(table(2, "new"), 10);
    moved.declared(table(3, "new"), 20);

    assertEquals(pool(moved, 10 + WINDOW - 1), Optional.empty());
    assertEquals(pool(moved, 10 + WINDOW), Optional.of("new"));
  }

  /** Guards against a guess among the pools of a route that is split. */
  @Test
  public void splitRouteHasNoSolePool() {
    RouteHistory split = new RouteHistory();
    split.declared(table(1, "a", "b"), 0);

    assertEquals(pool(split, 1), Optional.empty());
  }

  /** Guards against overlooking declarations from before the node started. */
  @Test
  public void earlierDeclarationsCount() {
    RouteHistory extended = new RouteHistory();
    extended.declared(table(3, "new"), 0);
    extended.extend(List.of(table(2, "old"), table(3, "new")), 0);

    assertEquals(pool(extended, 1), Optional.empty());
    assertEquals(pool(extended, WINDOW), Optional.of("new"));
  }

  /** Guards against declarations that are dropped while streams of their time can be resumed. */
  @Test
  public void droppedDeclarationsMakeThePoolUncertain() {
    RouteHistory changing = new RouteHistory();
    for (int version = 1; version < 60; version++) {
      changing.declared(table(version, "pool"), version);
    }

    assertEquals(pool(changing, 60), Optional.empty());
    assertEquals(pool(changing, 60 + WINDOW), Optional.of("pool"));
  }
}
