package org.cranberrystand.dispatch;

import java.util.Objects;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * The properties of a request that scheduling decisions depend on.
 *
 * <p>Immutable. Points in time are nanoseconds of the node's monotonic clock.
 */
public final class CallSpec {
  /** The version of a stream that began at an upstream whose version is not certain. */
  public static final String UNKNOWN_VERSION = "\0unknown";

  private final long key;
  private final String pool;
  private final String softwareVersion;
  private final boolean streaming;
  private final int priority;
  private final int promptTokens;
  private final long prefixKey;
  private final int prefixTokens;
  private final double expectedEvents;
  private final long gapTargetNanos;
  private final long maxFirstEventWaitNanos;
  private final long arrivalNanos;
  private final long targetNanos;
  private final long deadlineNanos;
  private final String team;
  private final double teamWeight;
  private final long costTokens;

  private CallSpec(Builder builder) {
    this.key = builder.key;
    this.pool = Objects.requireNonNull(builder.pool, "pool");
    this.softwareVersion = builder.softwareVersion;
    this.streaming = builder.streaming;
    this.priority = builder.priority;
    this.promptTokens = builder.promptTokens;
    this.prefixKey = builder.prefixKey;
    this.prefixTokens = builder.prefixTokens;
    this.expectedEvents = builder.expectedEvents;
    this.gapTargetNanos = builder.gapTargetNanos;
    this.maxFirstEventWaitNanos = builder.maxFirstEventWaitNanos;
    this.arrivalNanos = builder.arrivalNanos;
    this.targetNanos = builder.targetNanos;
    this.deadlineNanos = builder.deadlineNanos;
    this.team = builder.team;
    this.teamWeight = builder.teamWeight;
    this.costTokens = builder.costTokens;
  }

  /**
   * Creates a builder.
   *
   * @param key the key of the request, unique on its node
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

  /**
   * Returns whether an upstream may serve this request.
   *
   * @param upstream an upstream of the pool
   * @return false if the request continues a stream that another software version began
   */
  public boolean accepts(RegisteredUpstream upstream) {
    return !isContinued() || softwareVersion.equals(upstream.softwareVersion());
  }

  /**
   * Returns whether this request continues a stream.
   *
   * @return true if only one software version may serve it
   */
  public boolean isContinued() {
    return softwareVersion != null;
  }

  /**
   * Returns this request as the continuation of a stream.
   *
   * @param version the software version that began the stream
   * @return a copy that only upstreams of this version accept
   */
  public CallSpec continuedAt(String version) {
    return new Builder(key, pool)
        .softwareVersion(version)
        .streaming(streaming)
        .priority(priority)
        .size(promptTokens, expectedEvents)
        .prefix(prefixKey, prefixTokens)
        .streamTiming(gapTargetNanos, maxFirstEventWaitNanos)
        .times(arrivalNanos, targetNanos, deadlineNanos)
        .team(team, teamWeight, costTokens)
        .build();
  }

  public boolean isStreaming() {
    return streaming;
  }

  /** Returns the priority; lower values go first. */
  public int priority() {
    return priority;
  }

  public int promptTokens() {
    return promptTokens;
  }

  /** Returns the hash of the prompt prefix that this request shares with others. */
  public long prefixKey() {
    return prefixKey;
  }

  /** Returns the length of the shared prompt prefix in tokens; 0 if there is none. */
  public int prefixTokens() {
    return prefixTokens;
  }

  /** Returns the expected number of events in the response. */
  public double expectedEvents() {
    return expectedEvents;
  }

  /** Returns the target for the longest gap between two events; 0 if none is declared. */
  public long gapTargetNanos() {
    return gapTargetNanos;
  }

  /** Returns how long the caller waits for the first event before it disconnects. */
  public long maxFirstEventWaitNanos() {
    return maxFirstEventWaitNanos;
  }

  /** Returns how long the caller waits for a sign of life. */
  public long patienceNanos() {
    return Math.min(maxFirstEventWaitNanos, deadlineNanos - arrivalNanos);
  }

  public long arrivalNanos() {
    return arrivalNanos;
  }

  /** Returns the time until which the response, or its first event, meets its latency target. */
  public long targetNanos() {
    return targetNanos;
  }

  /** Returns the time until which the caller waits for the complete response. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the team that shares the pool with others; empty if the request has none. */
  public String team() {
    return team;
  }

  /** Returns whether the request has a team. */
  public boolean hasTeam() {
    return !team.isEmpty();
  }

  /** Returns the weight of the team among the teams of its priority. */
  public double teamWeight() {
    return teamWeight;
  }

  /** Returns the cost that is charged to the team, in tokens. */
  public double costTokens() {
    return (double) costTokens;
  }

  /** Builder of {@link CallSpec}. */
  public static final class Builder {
    private final long key;
    private final String pool;
    private String softwareVersion;
    private boolean streaming;
    private int priority;
    private int promptTokens;
    private long prefixKey;
    private int prefixTokens;
    private double expectedEvents;
    private long gapTargetNanos;
    private long maxFirstEventWaitNanos = Long.MAX_VALUE;
    private long arrivalNanos;
    private long targetNanos = Long.MAX_VALUE;
    private long deadlineNanos = Long.MAX_VALUE;
    private String team = "";
    private double teamWeight = 1;
    private long costTokens = 1;

    private Builder(long key, String pool) {
      this.key = key;
      this.pool = pool;
    }

    /**
     * Sets the software version that must serve the request.
     *
     * @param value the version; null for any
     * @return this builder
     */
    public Builder softwareVersion(String value) {
      this.softwareVersion = value;
      return this;
    }

    /**
     * Sets whether the response is a stream of events.
     *
     * @param value true for a stream
     * @return this builder
     */
    public Builder streaming(boolean value) {
      this.streaming = value;
      return this;
    }

    /**
     * Sets the priority.
     *
     * @param value the priority; lower values go first
     * @return this builder
     */
    public Builder priority(int value) {
      this.priority = value;
      return this;
    }

    /**
     * Sets the size of the request and its response.
     *
     * @param prompt the length of the prompt in tokens
     * @param events the expected number of events in the response
     * @return this builder
     */
    public Builder size(int prompt, double events) {
      this.promptTokens = prompt;
      this.expectedEvents = events;
      return this;
    }

    /**
     * Sets the prompt prefix that this request shares with others.
     *
     * @param key the hash of the prefix
     * @param tokens the length of the prefix in tokens
     * @return this builder
     */
    public Builder prefix(long key, int tokens) {
      this.prefixKey = key;
      this.prefixTokens = tokens;
      return this;
    }

    /**
     * Sets the time limits of a stream.
     *
     * @param gapTarget the target for the longest gap between two events, in nanoseconds; 0 for
     *     none
     * @param maxFirstEventWait how long the caller waits for the first event, in nanoseconds
     * @return this builder
     */
    public Builder streamTiming(long gapTarget, long maxFirstEventWait) {
      this.gapTargetNanos = gapTarget;
      this.maxFirstEventWaitNanos = maxFirstEventWait;
      return this;
    }

    /**
     * Sets the arrival, target and deadline, in nanoseconds of the monotonic clock.
     *
     * @param arrival the time at which the request arrived
     * @param target the time until which the response meets its latency target
     * @param deadline the time until which the caller waits
     * @return this builder
     */
    public Builder times(long arrival, long target, long deadline) {
      this.arrivalNanos = arrival;
      this.targetNanos = target;
      this.deadlineNanos = deadline;
      return this;
    }

    /**
     * Sets the team that shares the pool with others; by default, the request has none.
     *
     * @param name the name of the team
     * @param weight the weight of the team among the teams of its priority, above 0
     * @param tokens the cost of the request in tokens; at least 1 is charged
     * @return this builder
     */
    public Builder team(String name, double weight, long tokens) {
      this.team = name;
      this.teamWeight = weight;
      this.costTokens = Math.max(1, tokens);
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
