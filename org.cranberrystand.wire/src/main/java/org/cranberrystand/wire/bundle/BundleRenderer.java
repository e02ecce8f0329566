package org.cranberrystand.wire.bundle;

import java.util.Collection;
import java.util.stream.Collectors;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.ModelDeployment;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.Team;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.bundle.WorkKind;

/** Renders bundles as TOML, with all defaults written out. Stateless. */
public final class BundleRenderer {

  private BundleRenderer() {}

  /**
   * Renders a bundle.
   *
   * @param bundle the bundle
   * @return TOML text that parses to the same content
   */
  public static String render(Bundle bundle) {
    StringBuilder text = new StringBuilder();
    appendLine(text, "version", bundle.version());
    appendLine(text, "predecessor", quote(bundle.predecessorDigest()));
    for (Tier tier : Tier.values()) {
      text.append("\n[tiers.").append(tier.label()).append("]\n");
      appendLine(text, "guaranteed_share", bundle.guaranteedShare(tier));
    }
    bundle.pools().values().forEach(pool -> appendTable(text, pool));
    bundle.kinds().values().forEach(kind -> appendTable(text, kind));
    bundle.pools().keySet().stream()
        .flatMap(pool -> bundle.deployments(pool).stream())
        .forEach(deployment -> appendTable(text, deployment));
    bundle.teams().values().forEach(team -> appendTable(text, team));
    bundle.shops().values().forEach(shop -> appendTable(text, shop));
    return text.toString();
  }

  private static void appendTable(StringBuilder text, UpstreamPool pool) {
    text.append("\n[[pools]]\n");
    appendLine(text, "name", quote(pool.name()));
    appendLine(text, "type", quote(pool.type().label()));
    if (pool.type() == PoolType.MODEL || !pool.model().isEmpty()) {
      appendLine(text, "model", quote(pool.model()));
    }
    appendLine(text, "checks_fencing", pool.checksFencing());
    appendLine(text, "refusal_statuses", pool.refusalStatuses());
  }

  private static void appendTable(StringBuilder text, WorkKind kind) {
    text.append("\n[[kinds]]\n");
    appendLine(text, "name", quote(kind.name()));
    appendLine(text, "tier", quote(kind.tier().label()));
    appendLine(text, "pool", quote(kind.pool()));
    appendLine(text, "repeatable", kind.isRepeatable());
    appendLine(text, "max_retries", kind.maxRetries());
    appendLine(text, "cancel_on_disconnect", kind.isCancelOnDisconnect());
    appendLine(text, "deadline_ms", kind.deadlineMillis());
    appendLine(text, "expected_output_tokens", kind.expectedOutputTokens());
  }

  private static void appendTable(StringBuilder text, ModelDeployment deployment) {
    text.append("\n[[deployments]]\n");
    appendLine(text, "pool", quote(deployment.pool()));
    appendLine(text, "model", quote(deployment.model()));
    appendLine(text, "version", quote(deployment.version()));
    appendLine(text, "adapters", quoteAll(deployment.adapters()));
    appendLine(text, "role", quote(deployment.role().label()));
    appendLine(text, "share", deployment.share());
  }

  private static void appendTable(StringBuilder text, Team team) {
    text.append("\n[[teams]]\n");
    appendLine(text, "name", quote(team.name()));
    appendLine(text, "weight", team.weight());
  }

  private static void appendTable(StringBuilder text, Shop shop) {
    text.append("\n[[shops]]\n");
    appendLine(text, "name", quote(shop.name()));
    appendLine(text, "team", quote(shop.team()));
    appendLine(text, "kinds", quoteAll(shop.kinds()));
  }

  private static void appendLine(StringBuilder text, String key, Object value) {
    text.append(key).append(" = ").append(value).append('\n');
  }

  private static String quoteAll(Collection<String> values) {
    return values.stream().map(BundleRenderer::quote).collect(Collectors.joining(", ", "[", "]"));
  }

  /** Renders a TOML basic string; TOML allows control characters only as escapes. */
  private static String quote(String value) {
    StringBuilder text = new StringBuilder("\"");
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        text.append('\\').append(c);
      } else if (c < ' ' || c == '\u007f') {
        text.append("\\u%04x".formatted((int) c));
      } else {
        text.append(c);
      }
    }
    return text.append('"').toString();
  }
}
