package org.cranberrystand.bench.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.daemon.internal.BundleIntake;
import org.cranberrystand.membership.MemberState;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.BundleSplitter;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.testng.annotations.Test;

/** Tests failures during the distribution of bundles over real sockets. */
public class RolloutFailureTest {
  private static final Duration ROLLOUT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(20);

  /**
   * Guards against a pushed bundle that does not spread while the configuration service is down.
   */
  @Test
  public void pushedBundleSpreadsWhileTheServiceIsDown() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FleetChecks.startNodes(fleet, 4);
      fleet.platform().setConfigDown(true);
      Node node = fleet.nodes().get(2);
      assertEquals(
          node.offerBundle(fleet.sign(RolloutFleet.bundleText(2))), BundleIntake.Result.ACCEPTED);
      FleetChecks.await("version 2", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
      assertFalse(node.controlPlane().rollout().isPublished());
      FleetChecks.await(
          "rollout state of all members",
          ROLLOUT_TIMEOUT,
          () ->
              node.controlPlane().rollout().members().stream().filter(m -> m.version() == 2).count()
                  == 4);
      fleet.platform().setConfigDown(false);
      fleet.publish(RolloutFleet.bundleText(2));
      FleetChecks.await(
          "publication seen by a watcher",
          ROLLOUT_TIMEOUT,
          () -> fleet.nodes().stream().anyMatch(n -> n.controlPlane().rollout().isPublished()));
    }
  }

  /** Guards against a return to an older version that a lagging replica of the service sends. */
  @Test
  public void olderAnswersOfTheServiceRevertNothing() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FleetChecks.startNodes(fleet, 4);
      fleet.publish(RolloutFleet.bundleText(2));
      FleetChecks.await("version 2", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
      fleet.platform().setStaleReplica(true);
      fleet.publish(RolloutFleet.bundleText(3));
      FleetChecks.await("version 3", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 3));
      long calls = fleet.platform().configCallCount();
      FleetChecks.await(
          "more older answers",
          ROLLOUT_TIMEOUT,
          () -> fleet.platform().configCallCount() > calls + 20);
      assertTrue(FleetChecks.allHaveVersion(fleet, 3));
    }
  }

  /** Guards against accepting bundles that no operator signed or that were altered. */
  @Test
  public void forgedBundlesAreRefused() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FleetChecks.startNodes(fleet, 3);
      SignedBundle forged =
          BundleSignatures.sign(
              RolloutFleet.bundleText(9),
              "embedded",
              BundleSignatures.generateKeyPair().getPrivate());
      SignedBundle signed = fleet.sign(RolloutFleet.bundleText(8));
      SignedBundle altered = new SignedBundle(signed.bundle() + "\n", signed.signatures());
      for (Node node : fleet.nodes()) {
        assertEquals(node.offerBundle(forged), BundleIntake.Result.INVALID);
        assertEquals(node.offerBundle(altered), BundleIntake.Result.INVALID);
      }
      fleet.publish(forged);
      fleet.publish(RolloutFleet.bundleText(2));
      FleetChecks.await("version 2", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
    }
  }

  /** Guards against accepting altered content from a peer and against repeated fetches from it. */
  @Test
  public void peerThatServesAlteredContentIsNotAskedAgain() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet();
        RoguePeer rogue = new RoguePeer(fleet.sign(RolloutFleet.bundleText(99)))) {
      FleetChecks.startNodes(fleet, 2);
      Node node = fleet.nodes().get(0);
      for (int i = 0; i < 5; i++) {
        assertEquals(rogue.announceTo(node), 200);
        FleetChecks.await("one fetch", ROLLOUT_TIMEOUT, () -> rogue.fetchCount() > 0);
      }
      fleet.publish(RolloutFleet.bundleText(2));
      FleetChecks.await("version 2", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
      assertEquals(rogue.fetchCount(), 1);
    }
  }

  /** Guards against two bundles of one version that replace each other without a report. */
  @Test
  public void conflictingContentsAreKeptAndReported() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FleetChecks.startNodes(fleet, 2);
      Node left = fleet.nodes().get(0);
      Node right = fleet.nodes().get(1);
      fleet.faults().partition(ImmutableList.of("node-0"));
      SignedBundle other = fleet.sign(RolloutFleet.bundleText(2) + "\n# other\n");
      left.offerBundle(fleet.sign(RolloutFleet.bundleText(2)));
      right.offerBundle(other);
      String digest = right.controlPlane().rollout().digest();
      fleet.faults().partition(ImmutableList.of());
      FleetChecks.await(
          "conflict reported on both nodes",
          ROLLOUT_TIMEOUT,
          () ->
              !left.controlPlane().rollout().conflicts().isEmpty()
                  && !right.controlPlane().rollout().conflicts().isEmpty());
      assertEquals(right.controlPlane().rollout().digest(), digest);
      left.offerBundle(fleet.sign(RolloutFleet.bundleText(3)));
      FleetChecks.await("version 3", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 3));
    }
  }

  /** Guards against a node that stays isolated and on an old bundle after a partition. */
  @Test
  public void partitionedNodeComesBackWithTheNewBundle() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FleetChecks.startNodes(fleet, 4);
      fleet.platform().setDown(true);
      fleet.faults().partition(ImmutableList.of("node-3"));
      Node majorityNode = fleet.nodes().get(0);
      majorityNode.offerBundle(fleet.sign(RolloutFleet.bundleText(2)));
      FleetChecks.await(
          "node-3 gone",
          Duration.ofSeconds(40),
          () ->
              fleet.nodes().subList(0, 3).stream()
                  .allMatch(n -> stateOf(n, "node-3") == MemberState.GONE));
      assertEquals(FleetChecks.bundleVersion(fleet.nodes().get(3)), 1);
      assertTrue(
          FleetChecks.fetchAddresses(majorityNode).addresses().stream()
              .noneMatch(a -> a.node().equals("node-3")));
      fleet.faults().partition(ImmutableList.of());
      FleetChecks.await("version 2", RECOVERY_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
      FleetChecks.await(
          "all alive",
          RECOVERY_TIMEOUT,
          () -> fleet.nodes().stream().allMatch(n -> RolloutFleet.aliveMembers(n) == 3));
    }
  }

  /** Guards against a member that is suspected because one other node cannot reach it. */
  @Test
  public void memberThatOthersReachIsNotSuspected() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FleetChecks.startNodes(fleet, 3);
      fleet.faults().blockPair("node-0", "node-1");
      for (int i = 0; i < 60; i++) {
        Thread.sleep(100);
        assertEquals(stateOf(fleet.nodes().get(0), "node-1"), MemberState.ALIVE);
        assertEquals(stateOf(fleet.nodes().get(1), "node-0"), MemberState.ALIVE);
      }
      fleet.publish(RolloutFleet.bundleText(2));
      FleetChecks.await("version 2", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
    }
  }

  /** Guards against losing a bundle when almost all nodes are replaced during an outage. */
  @Test
  public void oneSurvivorPassesTheBundleToItsReplacedPeers() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FleetChecks.startNodes(fleet, 4);
      fleet.platform().setConfigDown(true);
      fleet.nodes().get(0).offerBundle(fleet.sign(RolloutFleet.bundleText(2)));
      FleetChecks.await("version 2", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
      for (Node node : fleet.nodes().subList(1, 4)) {
        fleet.kill(node);
      }
      for (int i = 0; i < 3; i++) {
        fleet.addNode();
      }
      FleetChecks.await("version 2", RECOVERY_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
      FleetChecks.await(
          "all serve",
          RECOVERY_TIMEOUT,
          () -> fleet.nodes().stream().allMatch(n -> n.state().readiness().mayDispatch()));
    }
  }

  /** Guards against bundles in parts that come into force only on the nodes that watch. */
  @Test
  public void partsReachNodesThatDoNotWatch() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet(1, false)) {
      FleetChecks.startNodes(fleet, 5);
      BundleSplitter.Split split = BundleSplitter.split(RolloutFleet.bundleText(2), 4);
      assertFalse(split.parts().isEmpty());
      split
          .parts()
          .forEach((digest, text) -> fleet.platform().publish("bundle/part/" + digest, text));
      fleet.publish(split.manifest());
      FleetChecks.await("version 2", ROLLOUT_TIMEOUT, () -> FleetChecks.allHaveVersion(fleet, 2));
      for (Node node : fleet.nodes()) {
        assertTrue(
            node.state().bundles().current().orElseThrow().shop("lajeado-counter").isPresent());
      }
    }
  }

  private static MemberState stateOf(Node node, String member) {
    return node.state().membership().get().find(member).orElseThrow().state();
  }
}
