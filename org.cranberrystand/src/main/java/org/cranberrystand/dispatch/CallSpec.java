package org.cranberrystand.dispatch;

import java.util.Objects;

/**
 * A request as far as decisions need it.
 *
 * <p>Immutable. Times are those of the node's monotonic clock.
 */
public final class CallSpec {
  private final long key;
  private final String pool;
  private final boolean streaming;
  private final int rank;
  private final int promptTokens;
  private final int outputTokens;
  private final long arrivalNanos;
  private final long targetNanos;
  private final long deadlineNanos;

  private CallSpec(Builder builder) {
    this.key = builder.key;
    this.pool = Objects.requireNonNull(builder.pool, "pool");
    this.streaming = builder.streaming;
    this.rank = builder.rank;
    this.promptTokens = builder.promptTokens;
    this.outputTokens = builder.outputTokens;
    this.arrivalNanos = builder.arrivalNanos;
    this.targetNanos = builder.targetNanos;
    this.deadlineNanos = builder.deadlineNanos;
  }

  /**
   * Starts a request.
   *
   * @param key identifies the request on its node
   * @param pool the pool that serves it
   * @return a builder
   */
  public static Builder builder(long key, String pool) {
    return new Builder(key, pool);
  }

  public long key() {
    return key;
  }

  public String pool() {
    return pool;
  }

  public boolean isStreaming() {
    return streaming;
  }

  /** Returns the urgency; lower ranks go first. */
  public int rank() {
    return rank;
  }

  public int promptTokens() {
    return promptTokens;
  }

  /** Returns the expected number of output tokens. */
  public int outputTokens() {
    return outputTokens;
  }

  public long arrivalNanos() {
    return arrivalNanos;
  }

  /** Returns until when the answer, or its first event, is on time. */
  public long targetNanos() {
    return targetNanos;
  }

  /** Returns until when the caller waits. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Builder of requests. */
  public static final class Builder {
    private final long key;
    private final String pool;
    private boolean streaming;
    private int rank;
    private int promptTokens;
    private int outputTokens;
    private long arrivalNanos;
    private long targetNanos = Long.MAX_VALUE;
    private long deadlineNanos = Long.MAX_VALUE;

    private Builder(long key, String pool) {
      this.key = key;
      this.pool = pool;
    }

    /**
     * Sets whether the answer is a stream of events.
     *
     * @param value true for streams
     * @return this builder
     */
    public Builder streaming(boolean value) {
      this.streaming = value;
      return this;
    }

    /**
     * Sets the urgency.
     *
     * @param value lower ranks go first
     * @return this builder
     */
    public Builder rank(int value) {
      this.rank = value;
      return this;
    }

    /**
     * Sets the size.
     *
     * @param prompt tokens of the prompt
     * @param output expected tokens of the answer
     * @return this builder
     */
    public Builder tokens(int prompt, int output) {
      this.promptTokens = prompt;
      this.outputTokens = output;
      return this;
    }

    /**
     * Sets the times.
     *
     * @param arrival when the request arrived, in nanoseconds
     * @param target until when its answer is on time, in nanoseconds
     * @param deadline until when its caller waits, in nanoseconds
     * @return this builder
     */
    public Builder times(long arrival, long target, long deadline) {
      this.arrivalNanos = arrival;
      this.targetNanos = target;
      this.deadlineNanos = deadline;
      return this;
    }

    /**
     * Creates the request.
     *
     * @return the request
     */
    public CallSpec build() {
      return new CallSpec(this);
    }
  }
}
