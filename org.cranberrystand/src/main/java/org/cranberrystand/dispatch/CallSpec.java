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
  private final long sharedKey;
  private final int sharedTokens;
  private final double outputEvents;
  private final long gapTargetNanos;
  private final long patienceNanos;
  private final long arrivalNanos;
  private final long targetNanos;
  private final long deadlineNanos;

  private CallSpec(Builder builder) {
    this.key = builder.key;
    this.pool = Objects.requireNonNull(builder.pool, "pool");
    this.streaming = builder.streaming;
    this.rank = builder.rank;
    this.promptTokens = builder.promptTokens;
    this.sharedKey = builder.sharedKey;
    this.sharedTokens = builder.sharedTokens;
    this.outputEvents = builder.outputEvents;
    this.gapTargetNanos = builder.gapTargetNanos;
    this.patienceNanos = builder.patienceNanos;
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

  /** Returns what tells the common beginnings of prompts apart. */
  public long sharedKey() {
    return sharedKey;
  }

  /** Returns how many tokens of the prompt are its common beginning; 0 if it has none. */
  public int sharedTokens() {
    return sharedTokens;
  }

  /** Returns the expected number of events in the answer. */
  public double outputEvents() {
    return outputEvents;
  }

  /** Returns the longest pause between events that is on time; 0 if none is declared. */
  public long gapTargetNanos() {
    return gapTargetNanos;
  }

  /** Returns how long the caller waits for the first event before it leaves. */
  public long patienceNanos() {
    return patienceNanos;
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
    private long sharedKey;
    private int sharedTokens;
    private double outputEvents;
    private long gapTargetNanos;
    private long patienceNanos = Long.MAX_VALUE;
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
     * @param events expected events of the answer
     * @return this builder
     */
    public Builder size(int prompt, double events) {
      this.promptTokens = prompt;
      this.outputEvents = events;
      return this;
    }

    /**
     * Sets the beginning of the prompt that other requests have too.
     *
     * @param prefix tells beginnings apart
     * @param tokens its length
     * @return this builder
     */
    public Builder shared(long prefix, int tokens) {
      this.sharedKey = prefix;
      this.sharedTokens = tokens;
      return this;
    }

    /**
     * Sets how long the caller bears a pause.
     *
     * @param gapTarget the longest pause between events that is on time, in nanoseconds
     * @param patience how long it waits for the first event, in nanoseconds
     * @return this builder
     */
    public Builder pauses(long gapTarget, long patience) {
      this.gapTargetNanos = gapTarget;
      this.patienceNanos = patience;
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
