package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.dispatch.QuotaLedger.Coverage;
import org.cranberrystand.dispatch.QuotaTolerance;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.routing.TokenQuota;
import org.testng.annotations.Test;

/** Plays the reports of a fleet without network, step by step. */
public final class FleetOfCellsTest {
  private static final long STEP_NANOS = 100_000_000L;
  private static final int SIZE = 80;
  private static final String ENGINE = "e";
  private static final double BURST = 1e9;
  private static final TeamPolicy TEAM =
      new TeamPolicy(
          "estrela", ImmutableSet.of(), OptionalInt.empty(), new TokenQuota(1e-9, BURST, true, 1));

  /** One node of the fleet and what it sends each step. */
  private static final class Node {
    private final KnownNode self;
    private final PeerTable table;
    private final PeerTargets targets;
    private final QuotaLedger quotas = new QuotaLedger(new QuotaTolerance(8, 0, 0), true);
    private boolean readsStore = true;
    private long sequence;
    private int sent;
    private long sentNanos;
    private long contactedNanos;

    private Node(int number) {
      self = new KnownNode("n" + number, host(number), "c" + number, true, number < 8 ? 1.5 : 0.4);
      table = new PeerTable(self);
      table.setOffered(true);
      targets = new PeerTargets(table, ImmutableSet.of(host(0), host(30), host(60)), number);
    }

    private ReportedLoad load(Coverage coverage, long now) {
      return new ReportedLoad(
          ImmutableMap.of(ENGINE, new UpstreamUsage(1, 100)),
          quotas.usedUnits(coverage),
          quotas.balances(now),
          ImmutableMap.of());
    }

    /** Takes a report as the gateway does. */
    private PeerTable.Receipt received(PeerReport report, long now) {
      PeerTable.Receipt receipt = table.received(report, now);
      if (receipt == PeerTable.Receipt.COUNTED) {
        boolean ofNode = report.reach() == ReportReach.NODE;
        quotas.reported(
            report.life() + "/" + report.reach().code(),
            ofNode ? Coverage.OWN_CELL : Coverage.OTHER_CELLS,
            report.load().quotaUnits(),
            report.load().quotaBalances(),
            now);
      }
      return receipt;
    }

    private PeerReport nodeReport(boolean question, long now) {
      return report(
          ReportReach.NODE, question, load(Coverage.THIS_NODE, now), targets.mentions(now), now);
    }

    private PeerReport report(
        ReportReach reach, boolean question, ReportedLoad load, List<KnownNode> others, long now) {
      return new PeerReport(
          table.self(),
          1,
          ++sequence,
          reach,
          table.nodeCount(now),
          table.cellCount(),
          question,
          1,
          readsStore && !table.isStoreReadByOthers(now),
          load,
          ImmutableList.copyOf(others));
    }
  }

  private final Map<String, Node> fleet = new LinkedHashMap<>();
  private long now;
  private boolean using;
  private double used;

  private static String host(int number) {
    return "10." + number % 4 + ".0." + (10 + number / 4);
  }

  private void start(int count) {
    fleet.clear();
    now = 0;
    using = false;
    used = 0;
    for (int i = 0; i < count; i++) {
      Node node = new Node(i);
      fleet.put(node.self.host(), node);
    }
  }

  private void steps(int count) {
    for (int i = 0; i < count; i++) {
      now += STEP_NANOS;
      for (Node node : List.copyOf(fleet.values())) {
        node.table.refresh(now);
        if (using) {
          assertTrue(node.quotas.tryConsume(TEAM, 100, now));
          used += 100;
        }
        if (now - node.sentNanos >= node.targets.reportIntervalNanos(true)) {
          node.sentNanos = now;
          boolean question = node.table.cellCount() == 1;
          send(node, node.nodeReport(question, now), node.targets.mateHosts());
        }
        if (now - node.contactedNanos >= node.targets.contactIntervalNanos(now)) {
          node.contactedNanos = now;
          send(node, node.nodeReport(true, now), node.targets.contactHosts(now));
        }
        if (node.table.isHead(now)) {
          sendSums(node);
        }
      }
    }
  }

  private void sendSums(Node node) {
    send(
        node,
        node.report(
            ReportReach.CELL,
            false,
            node.table.cellLoad(node.load(Coverage.OWN_CELL, now), now),
            node.targets.cellNodes(now),
            now),
        node.targets.headHosts(now));
    send(
        node,
        node.report(
            ReportReach.OTHERS,
            false,
            node.table.othersLoad(node.load(Coverage.OTHER_CELLS, now), now),
            node.targets.otherNodes(now),
            now),
        node.targets.mateHosts());
  }

  private void send(Node from, PeerReport report, Set<String> hosts) {
    from.sent += hosts.size();
    for (String host : hosts) {
      Node to = fleet.get(host);
      if (to != null
          && to.received(report, now) == PeerTable.Receipt.QUESTION
          && fleet.containsKey(from.self.host())) {
        PeerReport answer =
            to.report(
                ReportReach.NODE,
                false,
                to.load(Coverage.THIS_NODE, now),
                to.targets.answerTo(from.self.host(), now),
                now);
        to.sent++;
        from.received(answer, now);
      }
    }
  }

  private int usageSeenBy(Node node) {
    UpstreamUsage usage = node.table.load(now).usage().get(ENGINE);
    return usage == null ? 0 : usage.running();
  }

  private List<Node> heads() {
    return fleet.values().stream().filter(node -> node.table.isHead(now)).toList();
  }

  /** Guards against nodes of a large fleet that start together and never learn of each other. */
  @Test
  public void nodesThatStartTogetherSeeTheUseOfAll() {
    start(SIZE);
    steps(20);

    for (Node node : fleet.values()) {
      assertEquals(node.table.nodeCount(now), SIZE, node.self.node());
      assertEquals(usageSeenBy(node), SIZE - 1, node.self.node());
    }
    assertEquals(heads().size(), CellLayout.cellCount(SIZE));
  }

  @Test
  public void smallFleetsReportToAll() {
    start(8);
    steps(5);

    for (Node node : fleet.values()) {
      assertEquals(usageSeenBy(node), 7);
      assertTrue(!node.table.isHead(now));
    }
  }

  /** Guards against the loss of a whole cell's figures with its head. */
  @Test
  public void headsThatDieAreReplaced() {
    start(SIZE);
    steps(20);
    int before = heads().size();
    heads().forEach(node -> fleet.remove(node.self.host()));
    int left = fleet.size();
    steps(30);

    assertEquals(heads().size(), before);
    for (Node node : fleet.values()) {
      assertEquals(usageSeenBy(node), left - 1, node.self.node());
    }
  }

  /** Guards against nodes that come back without memory and are taken for gone. */
  @Test
  public void nodesThatStartAgainAreFoundAgain() {
    start(SIZE);
    steps(20);
    for (int i = 0; i < SIZE; i += 2) {
      Node node = new Node(i);
      node.sequence = 1_000_000;
      fleet.put(node.self.host(), node);
    }
    steps(20);

    for (Node node : fleet.values()) {
      assertEquals(usageSeenBy(node), SIZE - 1, node.self.node());
    }
  }

  /** Guards against reports that grow with the fleet: a small link must carry them. */
  @Test
  public void reportsOfANodeGrowWithTheRootOfTheFleet() {
    int small = mostSentPerStep(76);
    int large = mostSentPerStep(304);

    assertTrue(large <= 3 * small, "from " + small + " to " + large + " reports a step");
  }

  private int mostSentPerStep(int size) {
    start(size);
    steps(20);
    fleet.values().forEach(node -> node.sent = 0);
    steps(10);
    return fleet.values().stream().mapToInt(node -> node.sent).max().orElseThrow() / 10;
  }

  private void assertUseIsCounted(double least, double most) {
    for (Node node : fleet.values()) {
      double counted = BURST - node.quotas.balanceUnits(TEAM.name());
      assertTrue(
          counted >= least - 1 && counted <= most + 1,
          node.self.node() + " counts " + counted + " of " + used);
    }
  }

  /** Guards against use that is counted twice, which refuses teams within their quota. */
  @Test
  public void useOfAllNodesIsCountedOnce() {
    start(SIZE);
    fleet.values().forEach(node -> node.quotas.tryConsume(TEAM, 0, now));
    steps(20);
    double before = used + SIZE;
    using = true;
    steps(30);
    using = false;
    steps(15);

    assertUseIsCounted(used, before + used);
  }

  @Test
  public void useIsNotCountedTwiceWhenHeadsChange() {
    start(SIZE);
    fleet.values().forEach(node -> node.quotas.tryConsume(TEAM, 0, now));
    steps(20);
    using = true;
    steps(10);
    heads().forEach(node -> fleet.remove(node.self.host()));
    steps(30);
    using = false;
    steps(15);

    assertUseIsCounted(0.7 * used, used + SIZE);
  }

  /** Guards against a store that every node of a large fleet asks for every change. */
  @Test
  public void fewNodesOfACellReadTheStore() {
    start(SIZE);
    steps(20);
    long readers = readers();
    assertTrue(readers <= 3L * CellLayout.cellCount(SIZE), readers + " readers");
    assertTrue(readers >= 2L * CellLayout.cellCount(SIZE), readers + " readers");

    // Those that cannot reach the store are replaced by others of their cell.
    fleet.values().stream()
        .filter(node -> !node.table.isStoreReadByOthers(now))
        .forEach(node -> node.readsStore = false);
    steps(10);
    for (Node node : fleet.values()) {
      long others =
          fleet.values().stream()
              .filter(other -> other.readsStore && other.table.ownCell() == node.table.ownCell())
              .filter(other -> !other.table.isStoreReadByOthers(now))
              .count();
      long able =
          fleet.values().stream()
              .filter(other -> other.readsStore && other.table.ownCell() == node.table.ownCell())
              .count();
      assertTrue(others >= Math.min(able, 2), node.self.node() + ": " + others + " of " + able);
    }
  }

  private long readers() {
    return fleet.values().stream().filter(n -> !n.table.isStoreReadByOthers(now)).count();
  }

  /** Guards against an upstream that no cell uses, or that all use first. */
  @Test
  public void everyUpstreamHasOneHome() {
    start(SIZE);
    steps(20);
    for (int i = 0; i < 63; i++) {
      String engine = "engine-" + i;
      List<Integer> homes = new ArrayList<>();
      for (Node node : fleet.values()) {
        if (node.table.isHome(engine, node.table.cellWeights(now))) {
          homes.add(node.table.ownCell());
        }
      }
      assertEquals(homes.stream().collect(Collectors.toSet()).size(), 1, engine);
    }
  }
}
