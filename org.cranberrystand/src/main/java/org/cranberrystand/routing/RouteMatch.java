package org.cranberrystand.routing;

import java.util.Optional;

/** What the declaration in force says of a request. */
public sealed interface RouteMatch {

  /**
   * The request may be served.
   *
   * @param route its route
   * @param team the team that holds its key; empty if the route needs no key
   */
  record Matched(Route route, Optional<TeamPolicy> team) implements RouteMatch {}

  /** No route takes the host and path. */
  record NoRoute() implements RouteMatch {}

  /**
   * No team holds the key.
   *
   * @param route the route that needs a key
   */
  record KeyRefused(Route route) implements RouteMatch {}
}
