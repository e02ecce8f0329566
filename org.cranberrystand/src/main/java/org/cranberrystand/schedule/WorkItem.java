package org.cranberrystand.schedule;

import com.google.common.primitives.ImmutableLongArray;
import java.util.Objects;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.WorkKind;

/**
 * A request with the attributes that scheduling depends on.
 *
 * <p>Immutable. Times are on the node's monotonic clock, in nanoseconds.
 */
public final class WorkItem {
  private final long key;
  private final String shop;
  private final String team;
  private final WorkKind kind;
  private final int promptTokens;
  private final int maxOutputTokens;
  private final ImmutableLongArray prefixBlocks;
  private final String contentDigest;
  private final long arrivalNanos;
  private final long deadlineNanos;
  private final boolean handedOver;

  private WorkItem(Builder builder) {
    this.key = builder.key;
    this.shop = Objects.requireNonNull(builder.shop, "shop");
    this.team = Objects.requireNonNull(builder.team, "team");
    this.kind = Objects.requireNonNull(builder.kind, "kind");
    this.promptTokens = builder.promptTokens;
    this.maxOutputTokens = builder.maxOutputTokens;
    this.prefixBlocks = builder.prefixBlocks;
    this.contentDigest = builder.contentDigest;
    this.arrivalNanos = builder.arrivalNanos;
    this.deadlineNanos = builder.deadlineNanos;
    this.handedOver = builder.handedOver;
  }

  /**
   * Creates a builder.
   *
   * @param key the key of the request, unique on the node
   * @param kind the kind of work
   * @return a builder
   */
  public static Builder builder(long key, WorkKind kind) {
    return new Builder(key, kind);
  }

  public long key() {
    return key;
  }

  public String shop() {
    return shop;
  }

  public String team() {
    return team;
  }

  public WorkKind kind() {
    return kind;
  }

  public Tier tier() {
    return kind.tier();
  }

  public int promptTokens() {
    return promptTokens;
  }

  /**
   * Returns the limit of the output that the caller asked for.
   *
   * @return the limit in tokens, or 0 if the caller gave none
   */
  public int maxOutputTokens() {
    return maxOutputTokens;
  }

  /**
   * Returns the hashes of the leading blocks of the prompt.
   *
   * <p>Each hash covers all blocks up to its own, so equal hashes mean equal prefixes.
   *
   * @return the hashes from the first block on
   */
  public ImmutableLongArray prefixBlocks() {
    return prefixBlocks;
  }

  public String contentDigest() {
    return contentDigest;
  }

  public long arrivalNanos() {
    return arrivalNanos;
  }

  public long deadlineNanos() {
    return deadlineNanos;
  }

  /**
   * Returns whether another node handed the request over to this one.
   *
   * @return true if it was handed over, and so must not be handed over again
   */
  public boolean isHandedOver() {
    return handedOver;
  }

  /** Builder of {@link WorkItem}. Not thread-safe. */
  public static final class Builder {
    private final long key;
    private final WorkKind kind;
    private String shop = "";
    private String team = "";
    private int promptTokens;
    private int maxOutputTokens;
    private ImmutableLongArray prefixBlocks = ImmutableLongArray.of();
    private String contentDigest = "";
    private long arrivalNanos;
    private long deadlineNanos = Long.MAX_VALUE;
    private boolean handedOver;

    private Builder(long key, WorkKind kind) {
      this.key = key;
      this.kind = kind;
    }

    /**
     * Sets the shop and its team.
     *
     * @param shopName the shop
     * @param teamName the team of the shop; capacity is divided among teams
     * @return this builder
     */
    public Builder shop(String shopName, String teamName) {
      this.shop = shopName;
      this.team = teamName;
      return this;
    }

    /**
     * Sets the length of the prompt and the limit of the output.
     *
     * @param prompt the prompt length in tokens; 0 for plain services
     * @param maxOutput the output limit in tokens, or 0 for none
     * @return this builder
     */
    public Builder tokens(int prompt, int maxOutput) {
      this.promptTokens = prompt;
      this.maxOutputTokens = maxOutput;
      return this;
    }

    /**
     * Sets the hashes of the leading prompt blocks.
     *
     * @param value cumulative hashes from the first block on
     * @return this builder
     */
    public Builder prefixBlocks(ImmutableLongArray value) {
      this.prefixBlocks = value;
      return this;
    }

    /**
     * Sets the digest of the content, which identifies the same request when it is sent again.
     *
     * @param value the digest in hexadecimal
     * @return this builder
     */
    public Builder contentDigest(String value) {
      this.contentDigest = value;
      return this;
    }

    /**
     * Sets the arrival time and the deadline for the first token.
     *
     * @param arrival the arrival in nanoseconds
     * @param deadline the deadline in nanoseconds
     * @return this builder
     */
    public Builder times(long arrival, long deadline) {
      this.arrivalNanos = arrival;
      this.deadlineNanos = deadline;
      return this;
    }

    /**
     * Sets whether another node handed the request over to this one.
     *
     * @param value true if it was handed over
     * @return this builder
     */
    public Builder handedOver(boolean value) {
      this.handedOver = value;
      return this;
    }

    /**
     * Builds the item.
     *
     * @return an immutable item
     */
    public WorkItem build() {
      return new WorkItem(this);
    }
  }
}
