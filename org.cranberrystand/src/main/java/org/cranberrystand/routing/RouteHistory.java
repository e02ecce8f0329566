package org.cranberrystand.routing;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The pools to which the declarations of the recent past sent requests. Bounded: the oldest
 * declarations are dropped first. Not thread-safe.
 */
public final class RouteHistory {
  private static final int MAX_DECLARATIONS = 32;

  private record Past(RoutingTable table, long endedNanos) {}

  private final Deque<Past> past = new ArrayDeque<>();
  private RoutingTable current;
  private long droppedNanos;
  private boolean dropped;

  /**
   * Records a declaration that comes into force.
   *
   * @param table the declaration
   * @param nowNanos the current time, in nanoseconds
   */
  public void declared(RoutingTable table, long nowNanos) {
    if (current != null) {
      ended(current, nowNanos);
    }
    current = table.withoutTeams();
  }

  /**
   * Records declarations that were in force before this node knew any.
   *
   * @param earlier the declarations
   * @param nowNanos the current time, in nanoseconds
   */
  public void extend(Iterable<RoutingTable> earlier, long nowNanos) {
    earlier.forEach(table -> ended(table.withoutTeams(), nowNanos));
  }

  private void ended(RoutingTable table, long nowNanos) {
    past.addLast(new Past(table, nowNanos));
    if (past.size() > MAX_DECLARATIONS) {
      droppedNanos = past.removeFirst().endedNanos();
      dropped = true;
    }
  }

  /**
   * Returns the pool to which all declarations of a time up to now sent a request.
   *
   * @param host the host of the request without port
   * @param path the path of the request without query
   * @param windowNanos the length of the time, in nanoseconds
   * @param nowNanos the current time, in nanoseconds
   * @return the name of the pool; empty if there were several, or not all declarations are known
   */
  public Optional<String> solePool(String host, String path, long windowNanos, long nowNanos) {
    if (current == null || (dropped && nowNanos - droppedNanos < windowNanos)) {
      return Optional.empty();
    }
    ImmutableList<Optional<String>> pools =
        Stream.concat(
                past.stream()
                    .filter(one -> nowNanos - one.endedNanos() < windowNanos)
                    .map(Past::table),
                Stream.of(current))
            .map(table -> table.route(host, path).flatMap(Route::solePool))
            .distinct()
            .collect(ImmutableList.toImmutableList());
    return pools.size() == 1 ? Objects.requireNonNull(pools.get(0)) : Optional.empty();
  }
}
