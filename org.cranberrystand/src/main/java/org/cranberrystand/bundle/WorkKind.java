package org.cranberrystand.bundle;

import java.time.Duration;
import java.util.Objects;

/**
 * Kind of work that shops send, as declared in a bundle.
 *
 * <p>Immutable and thread-safe.
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
   * Creates a builder of a kind of work.
   *
   * @param name the name of the kind, unique in the bundle
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
   * Returns whether requests are idempotent, that is, can safely be run more than once.
   *
   * @return false for requests with side effects, such as deposits, orders and reservations
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
   * Returns how often a repeatable call to a plain service may be retried after a failure.
   *
   * @return the maximum number of retries; 0 for kinds that are not repeatable
   */
  public int maxRetries() {
    return maxRetries;
  }

  /**
   * Returns whether the node cancels a stream when its caller disconnects.
   *
   * @return false for long-running work whose caller resumes the stream later
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
     * Sets the priority tier.
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
     * Sets whether requests are idempotent, that is, can safely be run more than once.
     *
     * @param value true if a request can be run again
     * @return this builder
     */
    public Builder repeatable(boolean value) {
      this.repeatable = value;
      return this;
    }

    /**
     * Sets the deadline for the first token or, for plain services, the answer.
     *
     * @param value the time after the arrival of the request, in milliseconds
     * @return this builder
     */
    public Builder deadlineMillis(long value) {
      this.deadlineMillis = value;
      return this;
    }

    /**
     * Sets the initial estimate of the output length, used until actual lengths are known.
     *
     * @param value the length in tokens
     * @return this builder
     */
    public Builder expectedOutputTokens(int value) {
      this.expectedOutputTokens = value;
      return this;
    }

    /**
     * Sets how often a repeatable call may be retried.
     *
     * @param value the maximum number of retries
     * @return this builder
     */
    public Builder maxRetries(int value) {
      this.maxRetries = value;
      return this;
    }

    /**
     * Sets whether a stream is cancelled when its caller disconnects.
     *
     * @param value true to cancel the stream
     * @return this builder
     */
    public Builder cancelOnDisconnect(boolean value) {
      this.cancelOnDisconnect = value;
      return this;
    }

    /**
     * Builds the kind of work.
     *
     * @return the kind of work
     */
    public WorkKind build() {
      return new WorkKind(this);
    }
  }
}
