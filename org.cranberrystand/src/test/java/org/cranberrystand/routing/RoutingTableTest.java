package org.cranberrystand.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;
import org.testng.annotations.Test;

public final class RoutingTableTest {
  private static final TeamPolicy TEAM =
      new TeamPolicy("estrela", ImmutableSet.of("k1"), OptionalInt.empty(), TokenQuota.UNLIMITED);

  private final RoutingTable table =
      RoutingTable.builder(7)
          .route(route("short", "/a/").build())
          .route(route("long", "/a/b/").build())
          .route(route("open", "/open/").anonymous(true).build())
          .team(TEAM)
          .build();

  private static Route.Builder route(String name, String prefix) {
    return Route.builder(name, RouteKind.IDEMPOTENT).match("shop.example", prefix).pool("app", 1);
  }

  /** Guards against a request that is served by a matching route with a shorter prefix. */
  @Test
  public void longestPrefixWins() {
    RouteMatch match = table.find("Shop.Example", "/a/b/c", "k1");

    assertEquals(((RouteMatch.Matched) match).route().name(), "long");
  }

  @Test
  public void unknownKeyIsRefusedAndUnknownPathHasNoRoute() {
    assertTrue(table.find("shop.example", "/a/x", "k2") instanceof RouteMatch.KeyRefused);
    assertTrue(table.find("shop.example", "/a/x", null) instanceof RouteMatch.KeyRefused);
    assertTrue(table.find("shop.example", "/b/x", "k1") instanceof RouteMatch.NoRoute);
    assertTrue(table.find("other.example", "/a/x", "k1") instanceof RouteMatch.NoRoute);
  }

  @Test
  public void anonymousRouteNeedsNoKey() {
    assertTrue(table.find("shop.example", "/open/x", null) instanceof RouteMatch.Matched);
  }

  /** Guards against a route with several pools that sends all requests to one of them. */
  @Test
  public void poolsAreChosenByWeight() {
    Route split =
        Route.builder("split", RouteKind.IDEMPOTENT)
            .match("shop.example", "/s/")
            .pool("old", 90)
            .pool("new", 10)
            .build();

    assertEquals(split.choosePool(0.89), "old");
    assertEquals(split.choosePool(0.91), "new");
    assertEquals(split.choosePool(0.999_999_999), "new");
  }

  @Test
  public void onlyIdempotentAndResumableRequestsAreRetryable() {
    assertTrue(RouteKind.IDEMPOTENT.isRetryable(false));
    assertEquals(RouteKind.NON_IDEMPOTENT.isRetryable(true), false);
    assertEquals(RouteKind.STREAMING.isRetryable(false), false);
    assertTrue(RouteKind.STREAMING.isRetryable(true));
  }
}
