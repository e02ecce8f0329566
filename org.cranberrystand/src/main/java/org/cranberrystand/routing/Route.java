package org.cranberrystand.routing;

import com.google.common.collect.ImmutableList;
import java.util.Objects;
import java.util.Optional;

/**
 * A route: matches requests by host and path prefix, and defines how they are served. Immutable.
 */
public final class Route {
  private final String name;
  private final String host;
  private final String prefix;
  private final RouteKind kind;
  private final ImmutableList<WeightedPool> pools;
  private final double totalWeight;
  private final int timeoutMillis;
  private final int targetMillis;
  private final int gapTargetMillis;
  private final int maxAttempts;
  private final int priority;
  private final boolean anonymous;
  private final boolean resumable;

  private Route(Builder builder) {
    this.name = builder.name;
    this.host = Objects.requireNonNull(builder.host, "host");
    this.prefix = Objects.requireNonNull(builder.prefix, "prefix");
    this.kind = Objects.requireNonNull(builder.kind, "kind");
    this.pools = builder.pools.build();
    this.totalWeight = pools.stream().mapToDouble(WeightedPool::weight).sum();
    this.timeoutMillis = builder.timeoutMillis;
    this.targetMillis = builder.targetMillis;
    this.gapTargetMillis = builder.gapTargetMillis;
    this.maxAttempts = builder.maxAttempts;
    this.priority = builder.priority;
    this.anonymous = builder.anonymous;
    this.resumable = builder.resumable;
  }

  /**
   * Creates a builder.
   *
   * @param name the name of the route, for logs
   * @param kind whether requests of the route may be retried and whether they stream
   * @return a builder
   */
  public static Builder builder(String name, RouteKind kind) {
    return new Builder(name, kind);
  }

  public String name() {
    return name;
  }

  public String host() {
    return host;
  }

  public String prefix() {
    return prefix;
  }

  public RouteKind kind() {
    return kind;
  }

  public ImmutableList<WeightedPool> pools() {
    return pools;
  }

  /**
   * Returns the pool to which all requests go.
   *
   * @return the name of the pool; empty if requests may go to several pools or to none
   */
  public Optional<String> solePool() {
    ImmutableList<String> used =
        pools.stream()
            .filter(one -> one.weight() > 0)
            .map(WeightedPool::pool)
            .collect(ImmutableList.toImmutableList());
    return used.size() == 1 ? Optional.of(used.get(0)) : Optional.empty();
  }

  /**
   * Returns whether requests may go to a pool.
   *
   * @param pool the name of the pool
   * @return true if the route names it with a weight above 0
   */
  public boolean usesPool(String pool) {
    return pools.stream().anyMatch(one -> one.pool().equals(pool) && one.weight() > 0);
  }

  /** Returns the maximum time that a caller waits for the complete response. */
  public int timeoutMillis() {
    return timeoutMillis;
  }

  /** Returns the latency target for the response, or for its first event if it is a stream. */
  public int targetMillis() {
    return targetMillis;
  }

  /** Returns the target for the longest gap between two events; 0 if none is declared. */
  public int gapTargetMillis() {
    return gapTargetMillis;
  }

  /** Returns the maximum number of upstreams that may run one request. */
  public int maxAttempts() {
    return maxAttempts;
  }

  public int priority() {
    return priority;
  }

  /** Returns whether requests without an API key are allowed. */
  public boolean allowsAnonymous() {
    return anonymous;
  }

  public boolean isResumable() {
    return kind.isStreaming() && resumable;
  }

  /**
   * Returns whether a request that may already have run may be sent again.
   *
   * @return true if a second run is harmless
   */
  public boolean isRetryable() {
    return kind.isRetryable(resumable);
  }

  /**
   * Chooses a pool at random, in proportion to the weights.
   *
   * @param draw a random number from 0 (inclusive) to 1 (exclusive)
   * @return the name of the pool
   */
  public String choosePool(double draw) {
    double remainingWeight = draw * totalWeight;
    for (WeightedPool pool : pools) {
      remainingWeight -= pool.weight();
      if (remainingWeight < 0) {
        return pool.pool();
      }
    }
    return pools.get(pools.size() - 1).pool();
  }

  /** Builder of {@link Route}. */
  public static final class Builder {
    private final String name;
    private final RouteKind kind;
    private final ImmutableList.Builder<WeightedPool> pools = ImmutableList.builder();
    private String host;
    private String prefix;
    private int timeoutMillis = 60_000;
    private int targetMillis = 1_000;
    private int gapTargetMillis;
    private int maxAttempts = 1;
    private int priority;
    private boolean anonymous;
    private boolean resumable;

    private Builder(String name, RouteKind kind) {
      this.name = name;
      this.kind = kind;
    }

    /**
     * Sets the host and the path prefix of the requests that the route matches.
     *
     * @param hostName the host, in lower case
     * @param pathPrefix the prefix of the path
     * @return this builder
     */
    public Builder match(String hostName, String pathPrefix) {
      this.host = hostName;
      this.prefix = pathPrefix;
      return this;
    }

    /**
     * Adds a pool.
     *
     * @param pool the name of the pool
     * @param weight the share of requests, relative to the weights of the other pools
     * @return this builder
     */
    public Builder pool(String pool, double weight) {
      pools.add(new WeightedPool(pool, weight));
      return this;
    }

    /**
     * Sets the timeout and the latency targets, in milliseconds.
     *
     * @param timeout the maximum time that a caller waits for the complete response
     * @param target the latency target for the response, or for its first event
     * @param gapTarget the target for the longest gap between two events; 0 for none
     * @return this builder
     */
    public Builder times(int timeout, int target, int gapTarget) {
      this.timeoutMillis = timeout;
      this.targetMillis = target;
      this.gapTargetMillis = gapTarget;
      return this;
    }

    /**
     * Sets the maximum number of upstreams that may run one request.
     *
     * @param value the number; values below 1 count as 1
     * @return this builder
     */
    public Builder maxAttempts(int value) {
      this.maxAttempts = Math.max(1, value);
      return this;
    }

    /**
     * Sets the priority.
     *
     * @param value the priority; 0 is the most urgent
     * @return this builder
     */
    public Builder priority(int value) {
      this.priority = value;
      return this;
    }

    /**
     * Sets whether requests without an API key are allowed.
     *
     * @param value true to allow them
     * @return this builder
     */
    public Builder anonymous(boolean value) {
      this.anonymous = value;
      return this;
    }

    /**
     * Sets whether streams can be resumed at another upstream.
     *
     * @param value true if streams are resumable
     * @return this builder
     */
    public Builder resumable(boolean value) {
      this.resumable = value;
      return this;
    }

    /**
     * Creates the route.
     *
     * @return the route
     * @throws IllegalStateException if no pool was added
     */
    public Route build() {
      Route route = new Route(this);
      if (route.pools.isEmpty()) {
        throw new IllegalStateException("route " + name + " has no pool");
      }
      return route;
    }
  }
}
