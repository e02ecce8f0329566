package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.wire.operator.OperatorApi;
import org.cranberrystand.wire.operator.RolloutReport;

/**
 * Bundles in force on the given nodes and the bundle published.
 *
 * @param nodes one line per node asked
 * @param published what the configuration service publishes, as read by the first node that could;
 *     null if no node answered
 * @param warnings what an operator should look at
 */
record RolloutState(
    ImmutableList<Line> nodes, RolloutReport.Published published, ImmutableList<String> warnings) {

  /**
   * One node.
   *
   * @param address the address asked
   * @param node the name; an empty string if it did not answer
   * @param version the version in force, or 0
   * @param digest the digest in force, or an empty string
   * @param failure why it did not answer; an empty string otherwise
   */
  record Line(String address, String node, long version, String digest, String failure) {}

  /**
   * Asks all nodes; the first one that answers also reads the configuration service.
   *
   * @param client the nodes
   * @return the state
   */
  static RolloutState read(OperatorClient client) {
    ImmutableList<OperatorClient.Reply<RolloutReport>> replies =
        client.readAll(OperatorApi.PREFIX + "rollout", RolloutReport.class);
    ImmutableList<Line> lines =
        replies.stream().map(RolloutState::line).collect(ImmutableList.toImmutableList());
    RolloutReport.Published published = null;
    for (OperatorClient.Reply<RolloutReport> reply : replies) {
      if (reply.document() != null && published == null) {
        OperatorClient.Reply<RolloutReport> detailed =
            client.read(
                reply.address(),
                OperatorApi.PREFIX + "rollout?" + OperatorApi.PUBLISHED + "=true",
                RolloutReport.class);
        published = detailed.document() == null ? null : detailed.document().published();
      }
    }
    return new RolloutState(lines, published, warnings(lines, published));
  }

  /**
   * Tells whether every node has the same bundle and the configuration service publishes it.
   *
   * @return true if nothing is left to do
   */
  boolean isSettled() {
    return warnings.isEmpty();
  }

  /**
   * Tells whether every node asked has a bundle in force.
   *
   * @param version the version
   * @param digest the digest; null for any
   * @return true if it has
   */
  boolean isInForceEverywhere(long version, String digest) {
    return nodes.stream()
        .allMatch(n -> n.version() == version && (digest == null || n.digest().equals(digest)));
  }

  private static Line line(OperatorClient.Reply<RolloutReport> reply) {
    RolloutReport report = reply.document();
    return report == null
        ? new Line(reply.address().toString(), "", 0, "", reply.failure())
        : new Line(
            reply.address().toString(), report.node(), report.version(), report.digest(), "");
  }

  private static ImmutableList<String> warnings(
      List<Line> lines, RolloutReport.Published published) {
    List<String> warnings = new ArrayList<>();
    long silent = lines.stream().filter(line -> !line.failure().isEmpty()).count();
    if (silent > 0) {
      warnings.add(silent + " of " + lines.size() + " nodes did not answer");
    }
    List<Line> answering = lines.stream().filter(line -> line.failure().isEmpty()).toList();
    if (answering.stream().map(Line::digest).distinct().count() > 1) {
      warnings.add("THE NODES HAVE DIFFERENT BUNDLES IN FORCE");
    }
    if (published == null) {
      warnings.add("no node could tell what the configuration service publishes");
      return ImmutableList.copyOf(warnings);
    }
    if (published.state() != RolloutReport.State.VALID) {
      warnings.add(
          "THE CONFIGURATION SERVICE DOES NOT PUBLISH A VALID BUNDLE: "
              + published.state()
              + " "
              + published.detail());
    } else if (answering.stream().anyMatch(l -> !l.digest().equals(published.digest()))) {
      warnings.add(
          "THE CONFIGURATION SERVICE PUBLISHES ANOTHER BUNDLE, version "
              + published.version()
              + ": publish the bundle in force, or replaced nodes may start with the other one");
    }
    return ImmutableList.copyOf(warnings);
  }
}
