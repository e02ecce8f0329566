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

/** Writes a bundle as TOML with every default filled in. Stateless. */
public final class BundleRenderer {

  private BundleRenderer() {}

  /**
   * Writes a bundle.
   *
   * @param bundle the bundle
   * @return TOML text that reads as the same content
   */
  public static String render(Bundle bundle) {
    StringBuilder text = new StringBuilder();
    line(text, "version", bundle.version());
    line(text, "predecessor", quote(bundle.predecessorDigest()));
    for (Tier tier : Tier.values()) {
      text.append("\n[tiers.").append(tier.label()).append("]\n");
      line(text, "guaranteed_share", bundle.guaranteedShare(tier));
    }
    bundle.pools().values().forEach(pool -> append(text, pool));
    bundle.kinds().values().forEach(kind -> append(text, kind));
    bundle.pools().keySet().stream()
        .flatMap(pool -> bundle.deployments(pool).stream())
        .forEach(deployment -> append(text, deployment));
    bundle.teams().values().forEach(team -> append(text, team));
    bundle.shops().values().forEach(shop -> append(text, shop));
    return text.toString();
  }

  private static void append(StringBuilder text, UpstreamPool pool) {
    text.append("\n[[pools]]\n");
    line(text, "name", quote(pool.name()));
    line(text, "type", quote(pool.type().label()));
    if (pool.type() == PoolType.MODEL || !pool.model().isEmpty()) {
      line(text, "model", quote(pool.model()));
    }
    line(text, "checks_fencing", pool.checksFencing());
    line(text, "refusal_statuses", pool.refusalStatuses());
  }

  private static void append(StringBuilder text, WorkKind kind) {
    text.append("\n[[kinds]]\n");
    line(text, "name", quote(kind.name()));
    line(text, "tier", quote(kind.tier().label()));
    line(text, "pool", quote(kind.pool()));
    line(text, "repeatable", kind.isRepeatable());
    line(text, "max_retries", kind.maxRetries());
    line(text, "cancel_on_disconnect", kind.isCancelOnDisconnect());
    line(text, "deadline_ms", kind.deadlineMillis());
    line(text, "expected_output_tokens", kind.expectedOutputTokens());
  }

  private static void append(StringBuilder text, ModelDeployment deployment) {
    text.append("\n[[deployments]]\n");
    line(text, "pool", quote(deployment.pool()));
    line(text, "model", quote(deployment.model()));
    line(text, "version", quote(deployment.version()));
    line(text, "adapters", quoteAll(deployment.adapters()));
    line(text, "role", quote(deployment.role().label()));
    line(text, "share", deployment.share());
  }

  private static void append(StringBuilder text, Team team) {
    text.append("\n[[teams]]\n");
    line(text, "name", quote(team.name()));
    line(text, "weight", team.weight());
  }

  private static void append(StringBuilder text, Shop shop) {
    text.append("\n[[shops]]\n");
    line(text, "name", quote(shop.name()));
    line(text, "team", quote(shop.team()));
    line(text, "kinds", quoteAll(shop.kinds()));
  }

  private static void line(StringBuilder text, String key, Object value) {
    text.append(key).append(" = ").append(value).append('\n');
  }

  private static String quoteAll(Collection<String> values) {
    return values.stream().map(BundleRenderer::quote).collect(Collectors.joining(", ", "[", "]"));
  }

  /** Writes a TOML basic string; control characters have no other form in TOML. */
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
