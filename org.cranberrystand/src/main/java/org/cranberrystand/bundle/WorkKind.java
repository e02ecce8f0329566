package org.cranberrystand.bundle;

import java.time.Duration;
import java.util.Objects;

/**
 * Kind of work that shops send, as declared by the bundle.
 *
 * <p>Immutable. Durations are given in milliseconds.
 */
public final class WorkKind {
  private final String name;
  private final Tier tier;
  private final String pool;
  private final boolean repeatable;
  private final long deadlineMillis;
  private final int expectedOutputTokens;
  private final int maxRetries;
  private final boolean cancelOnDisconnect;

  private WorkKind(Builder builder) {
    this.name = Objects.requireNonNull(builder.name, "name");
    this.tier = Objects.requireNonNull(builder.tier, "tier");
    this.pool = Objects.requireNonNull(builder.pool, "pool");
    this.repeatable = builder.repeatable;
    this.deadlineMillis = builder.deadlineMillis;
    this.expectedOutputTokens = builder.expectedOutputTokens;
    this.maxRetries = builder.maxRetries;
    this.cancelOnDisconnect = builder.cancelOnDisconnect;
  }

  /**
   * Starts building a kind.
   *
   * @param name the name, unique in the bundle
   * @return a builder with defaults for all optional properties
   */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  public String name() {
    return name;
  }

  public Tier tier() {
    return tier;
  }

  public String pool() {
    return pool;
  }

  /**
   * Tells whether running the same request twice does no harm.
   *
   * @return false for deposits, orders and reservations
   */
  public boolean isRepeatable() {
    return repeatable;
  }

  public long deadlineMillis() {
    return deadlineMillis;
  }

  public int expectedOutputTokens() {
    return expectedOutputTokens;
  }

  /**
   * Returns how often an idempotent call to a plain service may be sent again after a failure.
   *
   * @return the number of further attempts; 0 for kinds that are not repeatable
   */
  public int maxRetries() {
    return maxRetries;
  }

  /**
   * Tells whether the node cancels the stream when its caller disconnects.
   *
   * @return false for long work whose caller fetches the rest later
   */
  public boolean isCancelOnDisconnect() {
    return cancelOnDisconnect;
  }

  @Override
  public String toString() {
    return name;
  }

  /** Builder of {@link WorkKind}. Not thread-safe. */
  public static final class Builder {
    private final String name;
    private Tier tier = Tier.STANDARD;
    private String pool;
    private boolean repeatable;
    private long deadlineMillis = Duration.ofSeconds(60).toMillis();
    private int expectedOutputTokens = 128;
    private int maxRetries;
    private boolean cancelOnDisconnect;

    private Builder(String name) {
      this.name = name;
    }

    /**
     * Sets the urgency.
     *
     * @param value the tier
     * @return this builder
     */
    public Builder tier(Tier value) {
      this.tier = value;
      return this;
    }

    /**
     * Sets the pool that serves this kind.
     *
     * @param value the name of the pool
     * @return this builder
     */
    public Builder pool(String value) {
      this.pool = value;
      return this;
    }

    /**
     * Declares whether running a request twice does no harm.
     *
     * @param value true if it does no harm
     * @return this builder
     */
    public Builder repeatable(boolean value) {
      this.repeatable = value;
      return this;
    }

    /**
     * Sets the time within which the first token or the answer is useful.
     *
     * @param value the time since arrival, in milliseconds
     * @return this builder
     */
    public Builder deadlineMillis(long value) {
      this.deadlineMillis = value;
      return this;
    }

    /**
     * Sets the output length assumed before anything was learned.
     *
     * @param value the length in tokens
     * @return this builder
     */
    public Builder expectedOutputTokens(int value) {
      this.expectedOutputTokens = value;
      return this;
    }

    /**
     * Sets how often an idempotent call may be sent again.
     *
     * @param value the number of further attempts
     * @return this builder
     */
    public Builder maxRetries(int value) {
      this.maxRetries = value;
      return this;
    }

    /**
     * Declares whether a disconnected caller cancels the work.
     *
     * @param value true if it does
     * @return this builder
     */
    public Builder cancelOnDisconnect(boolean value) {
      this.cancelOnDisconnect = value;
      return this;
    }

    /**
     * Builds the kind.
     *
     * @return an immutable kind
     */
    public WorkKind build() {
      return new WorkKind(this);
    }
  }
}
