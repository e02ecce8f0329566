package org.cranberrystand.bundle;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multimaps;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration declared by operators: kinds of work, guaranteed shares of
 * tiers, pools, shops, teams and model deployments.
 *
 * <p>Immutable and thread-safe.
 */
public final class Bundle {
  private final long version;
  private final String digest;
  private final String predecessorDigest;
  private final ImmutableMap<String, WorkKind> kinds;
  private final ImmutableMap<String, UpstreamPool> pools;
  private final ImmutableMap<String, Shop> shops;
  private final ImmutableMap<String, Team> teams;
  private final ImmutableMap<Tier, Double> guaranteedShares;
  private final ImmutableListMultimap<String, ModelDeployment> deployments;

  private Bundle(Builder builder) {
    this.version = builder.version;
    this.digest = builder.digest;
    this.predecessorDigest = builder.predecessorDigest;
    this.kinds = ImmutableMap.copyOf(builder.kinds);
    this.pools = ImmutableMap.copyOf(builder.pools);
    this.shops = ImmutableMap.copyOf(builder.shops);
    this.teams = ImmutableMap.copyOf(builder.teams);
    this.guaranteedShares = ImmutableMap.copyOf(builder.guaranteedShares);
    this.deployments = Multimaps.index(builder.deployments, ModelDeployment::pool);
  }

  /**
   * Creates a builder of a bundle.
   *
   * @param version the version number, at least 1
   * @return an empty builder
   */
  public static Builder builder(long version) {
    return new Builder(version);
  }

  public long version() {
    return version;
  }

  /**
   * Returns the digest of the signed content.
   *
   * @return the SHA-256 digest in hexadecimal, or an empty string for a bundle built in memory
   */
  public String digest() {
    return digest;
  }

  public String predecessorDigest() {
    return predecessorDigest;
  }

  public ImmutableMap<String, WorkKind> kinds() {
    return kinds;
  }

  public ImmutableMap<String, UpstreamPool> pools() {
    return pools;
  }

  public ImmutableMap<String, Shop> shops() {
    return shops;
  }

  public ImmutableMap<String, Team> teams() {
    return teams;
  }

  /**
   * Returns the model versions that the engines of a pool should serve.
   *
   * @param pool the name of the pool
   * @return the deployments in the order of the bundle; if empty, the engines receive no orders
   */
  public ImmutableList<ModelDeployment> deployments(String pool) {
    return deployments.get(pool);
  }

  public Optional<WorkKind> kind(String name) {
    return Optional.ofNullable(kinds.get(name));
  }

  public Optional<Shop> shop(String name) {
    return Optional.ofNullable(shops.get(name));
  }

  /**
   * Returns the weight of a team.
   *
   * @param name the name of the team
   * @return the declared weight, or 1 if the bundle does not declare the team
   */
  public double teamWeight(String name) {
    Team team = teams.get(name);
    return team == null ? 1.0 : team.weight();
  }

  /**
   * Returns the share of dispatches guaranteed to a tier under sustained load of other tiers.
   *
   * @param tier the tier
   * @return a fraction from 0 to 1
   */
  public double guaranteedShare(Tier tier) {
    return guaranteedShares.getOrDefault(tier, 0.0);
  }

  /** Builder of {@link Bundle}. Not thread-safe. */
  public static final class Builder {
    private final long version;
    private String digest = "";
    private String predecessorDigest = "";
    private final Map<String, WorkKind> kinds = new LinkedHashMap<>();
    private final Map<String, UpstreamPool> pools = new LinkedHashMap<>();
    private final Map<String, Shop> shops = new LinkedHashMap<>();
    private final Map<String, Team> teams = new LinkedHashMap<>();
    private final Map<Tier, Double> guaranteedShares = new EnumMap<>(Tier.class);
    private final List<ModelDeployment> deployments = new ArrayList<>();

    private Builder(long version) {
      this.version = version;
    }

    /**
     * Sets the digest of the signed content.
     *
     * @param value the SHA-256 digest in hexadecimal
     * @return this builder
     */
    public Builder digest(String value) {
      this.digest = value;
      return this;
    }

    /**
     * Sets the digest of the previous version.
     *
     * @param value the SHA-256 digest in hexadecimal, or an empty string for the first version
     * @return this builder
     */
    public Builder predecessorDigest(String value) {
      this.predecessorDigest = value;
      return this;
    }

    /**
     * Adds a kind of work.
     *
     * @param value the kind
     * @return this builder
     */
    public Builder addKind(WorkKind value) {
      kinds.put(value.name(), value);
      return this;
    }

    /**
     * Adds a pool.
     *
     * @param value the pool
     * @return this builder
     */
    public Builder addPool(UpstreamPool value) {
      pools.put(value.name(), value);
      return this;
    }

    /**
     * Adds a shop.
     *
     * @param value the shop
     * @return this builder
     */
    public Builder addShop(Shop value) {
      shops.put(value.name(), value);
      return this;
    }

    /**
     * Adds a team.
     *
     * @param value the team
     * @return this builder
     */
    public Builder addTeam(Team value) {
      teams.put(value.name(), value);
      return this;
    }

    /**
     * Sets the guaranteed share of a tier.
     *
     * @param tier the tier
     * @param share a fraction from 0 to 1
     * @return this builder
     */
    public Builder guaranteedShare(Tier tier, double share) {
      guaranteedShares.put(tier, share);
      return this;
    }

    /**
     * Adds a model version that some engines of a pool should serve.
     *
     * @param value the deployment
     * @return this builder
     */
    public Builder addDeployment(ModelDeployment value) {
      deployments.add(value);
      return this;
    }

    /**
     * Builds the bundle.
     *
     * @return the bundle
     */
    public Bundle build() {
      return new Bundle(this);
    }
  }
}
