package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.EngineRole;
import org.cranberrystand.bundle.ModelDeployment;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.Team;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.TomlDocument;
import org.cranberrystand.wire.TomlReader;

/**
 * Parses and validates bundles in TOML.
 *
 * <p>One instance parses one text. Not thread-safe.
 */
public final class BundleParser {
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;
  private static final int MAX_OUTPUT_TOKENS = 1_000_000;
  private static final int MAX_RETRIES = 10;
  private static final int DEFAULT_OUTPUT_TOKENS = 128;
  private static final long DEFAULT_DEADLINE_MILLIS = 60_000;
  private static final double MIN_DEPLOYMENT_SHARE = 0.001;

  private final Findings findings;
  private final String text;
  private final Function<String, Optional<BundlePart>> partByDigest;
  private final Set<String> poolNames = new HashSet<>();
  private final Map<String, Double> deployedShareByPool = new HashMap<>();
  private final Set<String> kindNames = new HashSet<>();
  private final Set<String> teamNames = new HashSet<>();
  private final Set<String> shopNames = new HashSet<>();

  private BundleParser(
      String file, String text, Function<String, Optional<BundlePart>> partByDigest) {
    this.findings = new Findings(file);
    this.text = text;
    this.partByDigest = partByDigest;
  }

  /**
   * Computes the content digest of a text.
   *
   * @param text the TOML text of a bundle, a manifest or a part
   * @return the SHA-256 digest in hexadecimal
   */
  public static String digestOf(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  /**
   * Parses a bundle without parts.
   *
   * @param file the file name to report in findings
   * @param text the TOML text
   * @return the bundle, or all findings
   */
  public static Checked<Bundle> parse(String file, String text) {
    return parse(file, text, digest -> Optional.empty());
  }

  /**
   * Parses a bundle together with its parts.
   *
   * @param file the file name to report in findings
   * @param text the TOML text
   * @param partByDigest looks up the parts that the text lists
   * @return the bundle, or all findings; a missing part is a finding
   */
  public static Checked<Bundle> parse(
      String file, String text, Function<String, Optional<BundlePart>> partByDigest) {
    return TomlDocument.parse(file, text).flatMap(new BundleParser(file, text, partByDigest)::read);
  }

  /**
   * Returns the digests of the parts that a text lists.
   *
   * @param text the TOML text
   * @return the digests in document order; empty if there are none or the text is not valid TOML
   */
  public static ImmutableSet<String> partDigests(String text) {
    Checked<TomlDocument> document = TomlDocument.parse("bundle", text);
    return document instanceof Checked.Valid<TomlDocument> valid
        ? TomlReader.ofRoot(valid.value(), new Findings("bundle")).getStringSet("parts")
        : ImmutableSet.of();
  }

  private Checked<Bundle> read(TomlDocument document) {
    TomlReader root = TomlReader.ofRoot(document, findings);
    long version = root.getLong("version", 0, 1, Long.MAX_VALUE);
    if (version == 0) {
      root.report("version", "is required and must be at least 1");
    }
    Bundle.Builder builder = Bundle.builder(version).digest(digestOf(text));
    builder.predecessorDigest(root.getString("predecessor", ""));
    readShares(root.getTable("tiers"), builder);
    root.getTables("pools").forEach(table -> readPool(table, builder));
    root.getTables("kinds").forEach(table -> readKind(table, builder));
    root.getTables("deployments").forEach(table -> readDeployment(table, builder));
    root.getTables("teams").forEach(table -> readTeam(table, builder));
    root.getTables("shops").forEach(table -> readShop(table, builder));
    root.getStringSet("parts").forEach(digest -> addPart(root, digest, builder));
    root.rejectUnknownKeys();
    return findings.toChecked(builder::build);
  }

  private void readShares(TomlReader tiers, Bundle.Builder builder) {
    double shareSum = 0;
    for (Tier tier : Tier.values()) {
      TomlReader table = tiers.getTable(tier.label());
      double share = table.getDouble("guaranteed_share", 0, 0, 1);
      shareSum += share;
      builder.guaranteedShare(tier, share);
      table.rejectUnknownKeys();
    }
    if (shareSum > 1) {
      tiers.report("", "guaranteed shares add up to " + shareSum + " but must not exceed 1");
    }
    tiers.rejectUnknownKeys();
  }

  private void readPool(TomlReader table, Bundle.Builder builder) {
    String name = uniqueName(table, poolNames);
    String typeLabel = table.getRequiredString("type");
    Optional<PoolType> type = PoolType.fromLabel(typeLabel);
    if (type.isEmpty() && !typeLabel.isEmpty()) {
      table.report("type", "is \"" + typeLabel + "\" but must be \"model\" or \"service\"");
    }
    String model = table.getString("model", "");
    boolean checksFencing = table.getBoolean("checks_fencing", false);
    ImmutableSet<Integer> refusalStatuses = table.getIntegerSet("refusal_statuses");
    table.rejectUnknownKeys();
    builder.addPool(
        new UpstreamPool(
            name, type.orElse(PoolType.SERVICE), model, checksFencing, refusalStatuses));
  }

  private void readKind(TomlReader table, Bundle.Builder builder) {
    WorkKind.Builder kind = WorkKind.builder(uniqueName(table, kindNames));
    String tierLabel = table.getRequiredString("tier");
    Optional<Tier> tier = Tier.fromLabel(tierLabel);
    if (tier.isEmpty() && !tierLabel.isEmpty()) {
      table.report(
          "tier",
          "is \"" + tierLabel + "\" but must be \"urgent\", \"standard\" or \"deferrable\"");
    }
    String pool = table.getRequiredString("pool");
    if (!pool.isEmpty() && !poolNames.contains(pool)) {
      table.report("pool", "names \"" + pool + "\", which is not declared under [[pools]]");
    }
    boolean repeatable = table.getBoolean("repeatable", false);
    int maxRetries = (int) table.getLong("max_retries", 0, 0, MAX_RETRIES);
    if (maxRetries > 0 && !repeatable) {
      table.report("max_retries", "must be 0 for a kind that is not repeatable");
    }
    builder.addKind(
        kind.tier(tier.orElse(Tier.STANDARD))
            .pool(pool)
            .repeatable(repeatable)
            .maxRetries(maxRetries)
            .cancelOnDisconnect(table.getBoolean("cancel_on_disconnect", false))
            .deadlineMillis(
                table.getLong("deadline_ms", DEFAULT_DEADLINE_MILLIS, 1, MAX_DEADLINE_MILLIS))
            .expectedOutputTokens(
                (int)
                    table.getLong(
                        "expected_output_tokens", DEFAULT_OUTPUT_TOKENS, 0, MAX_OUTPUT_TOKENS))
            .build());
    table.rejectUnknownKeys();
  }

  private void readDeployment(TomlReader table, Bundle.Builder builder) {
    String pool = table.getRequiredString("pool");
    if (!pool.isEmpty() && !poolNames.contains(pool)) {
      table.report("pool", "names \"" + pool + "\", which is not declared under [[pools]]");
    }
    String roleLabel = table.getString("role", EngineRole.MIXED.label());
    Optional<EngineRole> role = EngineRole.fromLabel(roleLabel);
    if (role.isEmpty()) {
      table.report(
          "role", "is \"" + roleLabel + "\" but must be \"mixed\", \"prefill\" or \"decode\"");
    }
    ModelDeployment deployment =
        new ModelDeployment(
            pool,
            table.getRequiredString("model"),
            table.getRequiredString("version"),
            ImmutableSortedSet.copyOf(table.getStringSet("adapters")),
            role.orElse(EngineRole.MIXED),
            table.getDouble("share", 1, MIN_DEPLOYMENT_SHARE, 1));
    double shareSum = deployedShareByPool.merge(pool, deployment.share(), Double::sum);
    if (shareSum > 1) {
      table.report("share", "shares of the pool add up to " + shareSum + " but must not exceed 1");
    }
    table.rejectUnknownKeys();
    builder.addDeployment(deployment);
  }

  private void readTeam(TomlReader table, Bundle.Builder builder) {
    addTeam(table, "name", BundlePart.readTeam(table), builder);
  }

  private void readShop(TomlReader table, Bundle.Builder builder) {
    addShop(table, BundlePart.readShop(table), builder);
  }

  private void addPart(TomlReader root, String digest, Bundle.Builder builder) {
    Optional<BundlePart> part = partByDigest.apply(digest);
    if (part.isEmpty()) {
      root.report("parts", "the part " + digest + " is missing");
      return;
    }
    part.get().teams().forEach(team -> addTeam(root, "parts", team, builder));
    part.get().shops().forEach(shop -> addShop(root, shop, builder));
  }

  private void addTeam(TomlReader table, String key, Team team, Bundle.Builder builder) {
    if (!team.name().isEmpty() && !teamNames.add(team.name())) {
      table.report(key, "\"" + team.name() + "\" is declared twice");
    }
    builder.addTeam(team);
  }

  private void addShop(TomlReader table, Shop shop, Bundle.Builder builder) {
    if (!shop.name().isEmpty() && !shopNames.add(shop.name())) {
      table.report("name", "\"" + shop.name() + "\" is declared twice");
    }
    if (!shop.team().isEmpty() && !teamNames.contains(shop.team())) {
      table.report("team", "names \"" + shop.team() + "\", which is not declared under [[teams]]");
    }
    for (String kind : shop.kinds()) {
      if (!kindNames.contains(kind)) {
        table.report("kinds", "names \"" + kind + "\", which is not declared under [[kinds]]");
      }
    }
    builder.addShop(shop);
  }

  private static String uniqueName(TomlReader table, Set<String> names) {
    String name = table.getRequiredString("name");
    if (!name.isEmpty() && !names.add(name)) {
      table.report("name", "\"" + name + "\" is declared twice");
    }
    return name;
  }
}
