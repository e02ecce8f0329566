package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.wire.operator.OperatorApi;
import org.cranberrystand.wire.operator.RolloutReport;

/**
 * The bundles in force on the given nodes and the bundle in the configuration service.
 *
 * @param nodes the status of each given node
 * @param published the bundle that the configuration service publishes, as reported by the first
 *     node that could read it; null if no node could
 * @param warnings differences and failures that need the attention of an operator
 */
record RolloutState(
    ImmutableList<NodeStatus> nodes,
    RolloutReport.Published published,
    ImmutableList<String> warnings) {

  /**
   * The bundle in force on one node.
   *
   * @param address the operator address of the node
   * @param node the name of the node; an empty string if it did not answer
   * @param version the version in force; 0 for none
   * @param digest the digest of the bundle in force; an empty string for none
   * @param failure why the node did not answer; an empty string if it did
   */
  record NodeStatus(String address, String node, long version, String digest, String failure) {}

  /**
   * Reads the state from all nodes. One of them also queries the configuration service.
   *
   * @param client the client of the nodes
   * @return the state
   */
  static RolloutState read(OperatorClient client) {
    ImmutableList<OperatorClient.Reply<RolloutReport>> replies =
        client.readAll(OperatorApi.PREFIX + "rollout", RolloutReport.class);
    ImmutableList<NodeStatus> statuses =
        replies.stream().map(RolloutState::toNodeStatus).collect(ImmutableList.toImmutableList());
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
    return new RolloutState(statuses, published, warnings(statuses, published));
  }

  /**
   * Tells whether all nodes have the published bundle in force.
   *
   * @return true if there are no warnings
   */
  boolean isSettled() {
    return warnings.isEmpty();
  }

  /**
   * Tells whether all given nodes have a bundle in force.
   *
   * @param version the version
   * @param digest the digest; null for any
   * @return true if all nodes have it in force
   */
  boolean isInForceEverywhere(long version, String digest) {
    return nodes.stream()
        .allMatch(n -> n.version() == version && (digest == null || n.digest().equals(digest)));
  }

  private static NodeStatus toNodeStatus(OperatorClient.Reply<RolloutReport> reply) {
    RolloutReport report = reply.document();
    return report == null
        ? new NodeStatus(reply.address().toString(), "", 0, "", reply.failure())
        : new NodeStatus(
            reply.address().toString(), report.node(), report.version(), report.digest(), "");
  }

  private static ImmutableList<String> warnings(
      List<NodeStatus> statuses, RolloutReport.Published published) {
    List<String> warnings = new ArrayList<>();
    long failedCount = statuses.stream().filter(status -> !status.failure().isEmpty()).count();
    if (failedCount > 0) {
      warnings.add(failedCount + " of " + statuses.size() + " nodes did not answer");
    }
    List<NodeStatus> answeredNodes =
        statuses.stream().filter(status -> status.failure().isEmpty()).toList();
    if (answeredNodes.stream().map(NodeStatus::digest).distinct().count() > 1) {
      warnings.add("THE NODES HAVE DIFFERENT BUNDLES IN FORCE");
    }
    if (published == null) {
      warnings.add("no node could read the bundle that the configuration service publishes");
      return ImmutableList.copyOf(warnings);
    }
    if (published.state() != RolloutReport.State.VALID) {
      warnings.add(
          "THE CONFIGURATION SERVICE DOES NOT PUBLISH A VALID BUNDLE: "
              + published.state()
              + " "
              + published.detail());
    } else if (answeredNodes.stream()
        .anyMatch(status -> !status.digest().equals(published.digest()))) {
      warnings.add(
          "THE CONFIGURATION SERVICE PUBLISHES ANOTHER BUNDLE, version "
              + published.version()
              + ": publish the bundle in force, or replaced nodes may start with the other one");
    }
    return ImmutableList.copyOf(warnings);
  }
}
