package org.cranberrystand.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * The routes, pools, teams and limits of one version of the operators' routing declaration.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class RoutingTable {
  private final long version;
  private final ImmutableListMultimap<String, Route> routesByHost;
  private final ImmutableMap<String, ServicePool> pools;
  private final ImmutableMap<String, TeamPolicy> teamsByKey;
  private final ImmutableList<TeamPolicy> teams;
  private final CallerLimits limits;

  private RoutingTable(Builder builder) {
    this.version = builder.version;
    this.routesByHost = indexRoutes(builder.routes);
    this.pools = ImmutableMap.copyOf(builder.pools);
    this.teams = ImmutableList.copyOf(builder.teams);
    this.teamsByKey = indexKeys(teams);
    this.limits = builder.limits;
  }

  private RoutingTable(RoutingTable table) {
    this.version = table.version;
    this.routesByHost = table.routesByHost;
    this.pools = ImmutableMap.of();
    this.teams = ImmutableList.of();
    this.teamsByKey = ImmutableMap.of();
    this.limits = table.limits;
  }

  /**
   * Creates a builder.
   *
   * @param version the version of the declaration
   * @return a builder
   */
  public static Builder builder(long version) {
    return new Builder(version);
  }

  public long version() {
    return version;
  }

  public CallerLimits limits() {
    return limits;
  }

  public ImmutableMap<String, ServicePool> pools() {
    return pools;
  }

  public ImmutableList<TeamPolicy> teams() {
    return teams;
  }

  /**
   * Finds the route of a request and authorizes it. If several routes of the host match the path,
   * the one with the longest prefix applies.
   *
   * @param host the host without port; case does not matter
   * @param path the path without query
   * @param key the API key of the caller; null if the request has none
   * @return the route and the team, or the reason why the request cannot be served
   */
  public RouteMatch find(String host, String path, String key) {
    return route(host, path).map(route -> authorize(route, key)).orElseGet(RouteMatch.NoRoute::new);
  }

  /**
   * Finds the route of a request, whether its caller is authorized or not.
   *
   * @param host the host without port; case does not matter
   * @param path the path without query
   * @return the route with the longest prefix that begins the path; empty if there is none
   */
  public Optional<Route> route(String host, String path) {
    return routesByHost.get(host.toLowerCase(Locale.ROOT)).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  /**
   * Returns a table with the same routes that needs less memory.
   *
   * @return a table without teams and pools, in which only {@link #route} is of use
   */
  public RoutingTable withoutTeams() {
    return new RoutingTable(this);
  }

  private RouteMatch authorize(Route route, String key) {
    TeamPolicy team = key == null ? null : teamsByKey.get(key);
    if (team == null && !teams.isEmpty() && !route.allowsAnonymous()) {
      return new RouteMatch.KeyRefused(route);
    }
    return new RouteMatch.Matched(route, Optional.ofNullable(team));
  }

  private static ImmutableListMultimap<String, Route> indexRoutes(List<Route> routes) {
    List<Route> longestFirst = new ArrayList<>(routes);
    longestFirst.sort(Comparator.comparingInt((Route r) -> r.prefix().length()).reversed());
    ImmutableListMultimap.Builder<String, Route> index = ImmutableListMultimap.builder();
    longestFirst.forEach(route -> index.put(route.host(), route));
    return index.build();
  }

  private static ImmutableMap<String, TeamPolicy> indexKeys(List<TeamPolicy> teams) {
    Map<String, TeamPolicy> index = new HashMap<>();
    teams.forEach(team -> team.keys().forEach(key -> index.putIfAbsent(key, team)));
    return ImmutableMap.copyOf(index);
  }

  /**
   * Returns the names of the pools that at least one route uses.
   *
   * @return the names of the pools
   */
  public ImmutableSet<String> routedPools() {
    return routesByHost.values().stream()
        .flatMap(route -> route.pools().stream())
        .map(WeightedPool::pool)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns the names of the pools to which routes send streams that callers may resume.
   *
   * @return the names of the pools
   */
  public ImmutableSet<String> resumablePools() {
    return routesByHost.values().stream()
        .filter(Route::isResumable)
        .flatMap(route -> route.pools().stream())
        .map(WeightedPool::pool)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Builder of {@link RoutingTable}. */
  public static final class Builder {
    private final long version;
    private final List<Route> routes = new ArrayList<>();
    private final Map<String, ServicePool> pools = new HashMap<>();
    private final List<TeamPolicy> teams = new ArrayList<>();
    private CallerLimits limits = CallerLimits.defaults();

    private Builder(long version) {
      this.version = version;
    }

    /**
     * Adds a route.
     *
     * @param route the route
     * @return this builder
     */
    public Builder route(Route route) {
      routes.add(route);
      return this;
    }

    /**
     * Adds a pool.
     *
     * @param pool the pool
     * @return this builder
     */
    public Builder pool(ServicePool pool) {
      pools.put(pool.name(), pool);
      return this;
    }

    /**
     * Adds a team.
     *
     * @param team the team
     * @return this builder
     */
    public Builder team(TeamPolicy team) {
      teams.add(team);
      return this;
    }

    /**
     * Sets the limits of callers.
     *
     * @param value the limits
     * @return this builder
     */
    public Builder limits(CallerLimits value) {
      this.limits = value;
      return this;
    }

    /**
     * Creates the table.
     *
     * @return the table
     */
    public RoutingTable build() {
      return new RoutingTable(this);
    }
  }
}
