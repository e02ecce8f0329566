package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.ModelDeployment;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.Team;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.bundle.WorkKind;

/** Computes the differences between two bundles. Stateless. */
public final class BundleDiff {

  /** Sections of a bundle. */
  public enum Section {
    /** Kinds of work. */
    KIND,
    /** Upstream pools. */
    POOL,
    /** Shops. */
    SHOP,
    /** Teams. */
    TEAM,
    /** Models that the engines should serve. */
    MODEL,
    /** Guaranteed shares of the tiers. */
    SHARE
  }

  /**
   * An added, removed or changed element.
   *
   * @param section the section of the bundle
   * @param name the name of the element
   * @param property the property that differs, or an empty string for an added or removed element
   * @param before the old value; null for an added element
   * @param after the new value; null for a removed element
   */
  public record Change(Section section, String name, String property, String before, String after) {

    @Override
    public String toString() {
      String subject = section.name().toLowerCase(java.util.Locale.ROOT) + " " + name;
      if (before == null) {
        return "+ " + subject + " " + after;
      }
      if (after == null) {
        return "- " + subject + " " + before;
      }
      return "~ " + subject + " " + property + ": " + before + " -> " + after;
    }
  }

  private BundleDiff() {}

  /**
   * Compares two bundles, ignoring versions and digests.
   *
   * @param before the old bundle
   * @param after the new bundle
   * @return the differences in the order of the sections; empty if the contents are equal
   */
  public static ImmutableList<Change> between(Bundle before, Bundle after) {
    ImmutableList.Builder<Change> changes = ImmutableList.builder();
    for (Section section : Section.values()) {
      compare(section, elements(section, before), elements(section, after), changes);
    }
    return changes.build();
  }

  private static void compare(
      Section section,
      Map<String, Map<String, String>> before,
      Map<String, Map<String, String>> after,
      ImmutableList.Builder<Change> changes) {
    for (String name : Sets.union(before.keySet(), after.keySet())) {
      Map<String, String> oldProperties = before.get(name);
      Map<String, String> newProperties = after.get(name);
      if (oldProperties == null) {
        changes.add(new Change(section, name, "", null, newProperties.toString()));
      } else if (newProperties == null) {
        changes.add(new Change(section, name, "", oldProperties.toString(), null));
      } else {
        for (Map.Entry<String, String> property : oldProperties.entrySet()) {
          String newValue = newProperties.get(property.getKey());
          if (!Objects.equals(property.getValue(), newValue)) {
            changes.add(
                new Change(section, name, property.getKey(), property.getValue(), newValue));
          }
        }
      }
    }
  }

  private static Map<String, Map<String, String>> elements(Section section, Bundle bundle) {
    Map<String, Map<String, String>> elements = new LinkedHashMap<>();
    switch (section) {
      case KIND -> bundle.kinds().values().forEach(k -> elements.put(k.name(), properties(k)));
      case POOL -> bundle.pools().values().forEach(p -> elements.put(p.name(), properties(p)));
      case SHOP -> bundle.shops().values().forEach(s -> elements.put(s.name(), properties(s)));
      case TEAM -> bundle.teams().values().forEach(t -> elements.put(t.name(), properties(t)));
      case MODEL -> bundle.pools().keySet().forEach(p -> putDeployments(bundle, p, elements));
      case SHARE -> {
        for (Tier tier : Tier.values()) {
          elements.put(tier.label(), properties("guaranteed_share", bundle.guaranteedShare(tier)));
        }
      }
      default -> throw new AssertionError(section);
    }
    return elements;
  }

  private static void putDeployments(
      Bundle bundle, String pool, Map<String, Map<String, String>> elements) {
    for (ModelDeployment d : bundle.deployments(pool)) {
      elements.put(
          String.join("/", pool, d.model(), d.version(), d.role().label()),
          properties("adapters", d.adapters(), "share", d.share()));
    }
  }

  private static Map<String, String> properties(WorkKind kind) {
    return properties(
        "tier", kind.tier().label(),
        "pool", kind.pool(),
        "repeatable", kind.isRepeatable(),
        "max_retries", kind.maxRetries(),
        "cancel_on_disconnect", kind.isCancelOnDisconnect(),
        "deadline_ms", kind.deadlineMillis(),
        "expected_output_tokens", kind.expectedOutputTokens());
  }

  private static Map<String, String> properties(UpstreamPool pool) {
    return properties(
        "type", pool.type().label(),
        "model", pool.model(),
        "checks_fencing", pool.checksFencing(),
        "refusal_statuses", pool.refusalStatuses());
  }

  private static Map<String, String> properties(Shop shop) {
    return properties("team", shop.team(), "kinds", shop.kinds());
  }

  private static Map<String, String> properties(Team team) {
    return properties("weight", team.weight());
  }

  private static Map<String, String> properties(Object... keysAndValues) {
    Map<String, String> properties = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      properties.put((String) keysAndValues[i], String.valueOf(keysAndValues[i + 1]));
    }
    return properties;
  }
}
