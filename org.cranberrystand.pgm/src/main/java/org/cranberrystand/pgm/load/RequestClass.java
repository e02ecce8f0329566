package org.cranberrystand.pgm.load;

import java.util.Objects;

/**
 * Template of the requests that a load sends for one kind and one shop.
 *
 * <p>Immutable.
 */
public final class RequestClass {
  private final String kind;
  private final String shop;
  private final String tier;
  private final String team;
  private final double weight;
  private final int promptChars;
  private final int maxTokens;
  private final boolean streaming;
  private final boolean repeatable;
  private final long deadlineMillis;

  private RequestClass(Builder builder) {
    this.kind = Objects.requireNonNull(builder.kind, "kind");
    this.shop = Objects.requireNonNull(builder.shop, "shop");
    this.tier = Objects.requireNonNull(builder.tier, "tier");
    this.team = Objects.requireNonNull(builder.team, "team");
    this.weight = builder.weight;
    this.promptChars = builder.promptChars;
    this.maxTokens = builder.maxTokens;
    this.streaming = builder.streaming;
    this.repeatable = builder.repeatable;
    this.deadlineMillis = builder.deadlineMillis;
  }

  /**
   * Creates a builder.
   *
   * @param kind the kind of the requests
   * @param shop the shop that sends the requests
   * @return a builder
   */
  public static Builder builder(String kind, String shop) {
    return new Builder(kind, shop);
  }

  public String kind() {
    return kind;
  }

  public String shop() {
    return shop;
  }

  public String tier() {
    return tier;
  }

  public String team() {
    return team;
  }

  public double weight() {
    return weight;
  }

  public int promptChars() {
    return promptChars;
  }

  public int maxTokens() {
    return maxTokens;
  }

  public boolean isStreaming() {
    return streaming;
  }

  /**
   * Tells whether a request may run more than once.
   *
   * @return false for requests that carry an identifier
   */
  public boolean isRepeatable() {
    return repeatable;
  }

  /**
   * Returns the deadline of the first token for a request to count as goodput.
   *
   * @return the time since the planned arrival, in milliseconds
   */
  public long deadlineMillis() {
    return deadlineMillis;
  }

  /** Builder of {@link RequestClass}. Not thread-safe. */
  public static final class Builder {
    private final String kind;
    private final String shop;
    private String tier = "standard";
    private String team = "";
    private double weight = 1;
    private int promptChars = 200;
    private int maxTokens = 16;
    private boolean streaming = true;
    private boolean repeatable = true;
    private long deadlineMillis = 60_000;

    private Builder(String kind, String shop) {
      this.kind = kind;
      this.shop = shop;
    }

    /**
     * Sets the tier and team under which the results are reported.
     *
     * @param tierName the tier
     * @param teamName the team
     * @return this builder
     */
    public Builder reportAs(String tierName, String teamName) {
      this.tier = tierName;
      this.team = teamName;
      return this;
    }

    /**
     * Sets the weight of this class in the mix.
     *
     * @param value the share of the arrivals relative to the other classes
     * @return this builder
     */
    public Builder weight(double value) {
      this.weight = value;
      return this;
    }

    /**
     * Sends streaming requests to a language model.
     *
     * @param promptLengthChars the mean length of the prompt in characters
     * @param outputTokens the limit of the output in tokens
     * @return this builder
     */
    public Builder model(int promptLengthChars, int outputTokens) {
      this.streaming = true;
      this.promptChars = promptLengthChars;
      this.maxTokens = outputTokens;
      return this;
    }

    /**
     * Sends requests to a plain service, without streaming.
     *
     * @return this builder
     */
    public Builder service() {
      this.streaming = false;
      return this;
    }

    /**
     * Sets whether a request may run more than once.
     *
     * @param value false to send an identifier with each request
     * @return this builder
     */
    public Builder repeatable(boolean value) {
      this.repeatable = value;
      return this;
    }

    /**
     * Sets the deadline of the first token for a request to count as goodput.
     *
     * @param value the time since the planned arrival, in milliseconds
     * @return this builder
     */
    public Builder deadlineMillis(long value) {
      this.deadlineMillis = value;
      return this;
    }

    /**
     * Builds the class.
     *
     * @return an immutable class
     */
    public RequestClass build() {
      return new RequestClass(this);
    }
  }
}
