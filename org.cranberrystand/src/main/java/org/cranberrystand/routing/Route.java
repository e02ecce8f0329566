package org.cranberrystand.routing;

import com.google.common.collect.ImmutableList;
import java.util.Objects;

/**
 * Requests with one host and path prefix, and how they are served.
 *
 * <p>Immutable.
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
  private final boolean open;
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
    this.open = builder.open;
    this.resumable = builder.resumable;
  }

  /**
   * Starts a route.
   *
   * @param name the name, for logs
   * @param kind how often its requests may run
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

  /** Returns the longest time that a caller is kept waiting. */
  public int timeoutMillis() {
    return timeoutMillis;
  }

  /** Returns the time within which the answer, or its first event, is on time. */
  public int targetMillis() {
    return targetMillis;
  }

  /** Returns the longest pause between two events that is on time; 0 if none is declared. */
  public int gapTargetMillis() {
    return gapTargetMillis;
  }

  /** Returns the largest number of upstreams that may run one request. */
  public int maxAttempts() {
    return maxAttempts;
  }

  public int priority() {
    return priority;
  }

  /** Returns whether requests need no key. */
  public boolean isOpen() {
    return open;
  }

  public boolean isResumable() {
    return kind.isStreaming() && resumable;
  }

  /**
   * Tells whether a request that may have run may be sent again.
   *
   * @return true if a second run does no harm
   */
  public boolean mayRepeat() {
    return kind.mayRepeat(resumable);
  }

  /**
   * Chooses a pool by weight.
   *
   * @param draw a number from 0 (inclusive) to 1 (exclusive)
   * @return the name of the pool
   */
  public String choosePool(double draw) {
    double left = draw * totalWeight;
    for (WeightedPool pool : pools) {
      left -= pool.weight();
      if (left < 0) {
        return pool.pool();
      }
    }
    return pools.get(pools.size() - 1).pool();
  }

  /** Builder of routes. */
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
    private boolean open;
    private boolean resumable;

    private Builder(String name, RouteKind kind) {
      this.name = name;
      this.kind = kind;
    }

    /**
     * Sets which requests the route takes.
     *
     * @param hostName the host, in lower case
     * @param pathPrefix the beginning of the path
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
     * @param weight its part of the requests
     * @return this builder
     */
    public Builder pool(String pool, double weight) {
      pools.add(new WeightedPool(pool, weight));
      return this;
    }

    /**
     * Sets the times.
     *
     * @param timeout the longest time that a caller is kept waiting, in milliseconds
     * @param target the time within which the answer is on time, in milliseconds
     * @param gapTarget the longest pause between events that is on time, in milliseconds
     * @return this builder
     */
    public Builder times(int timeout, int target, int gapTarget) {
      this.timeoutMillis = timeout;
      this.targetMillis = target;
      this.gapTargetMillis = gapTarget;
      return this;
    }

    /**
     * Sets the largest number of upstreams that may run one request.
     *
     * @param value at least 1
     * @return this builder
     */
    public Builder maxAttempts(int value) {
      this.maxAttempts = Math.max(1, value);
      return this;
    }

    /**
     * Sets the rank.
     *
     * @param value 0 is the most urgent
     * @return this builder
     */
    public Builder priority(int value) {
      this.priority = value;
      return this;
    }

    /**
     * Sets whether requests need no key.
     *
     * @param value true if they need none
     * @return this builder
     */
    public Builder open(boolean value) {
      this.open = value;
      return this;
    }

    /**
     * Sets whether streams can be resumed at another upstream.
     *
     * @param value true if they can
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
     * @throws IllegalStateException if it has no pool
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
