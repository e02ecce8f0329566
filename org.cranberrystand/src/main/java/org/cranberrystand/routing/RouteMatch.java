package org.cranberrystand.routing;

import java.util.Optional;

/** Result of looking up a request in a {@link RoutingTable}. */
public sealed interface RouteMatch {

  /**
   * The request matches a route and is authorized.
   *
   * @param route the route
   * @param team the team that owns the API key; empty if no team does and the route allows that
   */
  record Matched(Route route, Optional<TeamPolicy> team) implements RouteMatch {}

  /** No route matches the host and path. */
  record NoRoute() implements RouteMatch {}

  /**
   * The route requires the API key of a team, and the request has none or an unknown one.
   *
   * @param route the route
   */
  record KeyRefused(Route route) implements RouteMatch {}
}
