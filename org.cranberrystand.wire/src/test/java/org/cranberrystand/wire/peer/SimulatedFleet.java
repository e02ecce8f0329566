package org.cranberrystand.wire.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.membership.PeerTargets;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.membership.ReportScope;
import org.cranberrystand.membership.ReportedLoad;
import org.cranberrystand.membership.SharedObservations;

/**
 * Nodes that exchange reports as the gateway does, over a simulated network that drops, duplicates,
 * delays and reorders datagrams. Deterministic for a seed.
 */
final class SimulatedFleet {
  static final long MILLI = 1_000_000L;
  private static final long STEP_NANOS = 10 * MILLI;
  private static final long TICK_NANOS = 50 * MILLI;
  private static final long AGGREGATE_INTERVAL_NANOS = 140 * MILLI;
  private static final long ORIGIN_REPORT_NANOS = 300 * MILLI;
  private static final int UPSTREAMS = 62;
  private static final int TEAMS = 16;
  private static final int DOMAINS = 4;

  /** A cell may have no preferred upstream while nodes discover each other. */
  private static final int MAX_DRAWS = 100;

  private static final long REQUEST_NANOS = 1_000 * MILLI;

  /** How the network treats datagrams. */
  record Faults(double dropped, double duplicated, long maxDelayNanos) {
    static final Faults NONE = new Faults(0, 0, MILLI);
  }

  private record Datagram(ByteString content, String from, String to, long arrivalNanos) {}

  private record Running(String upstream, long endNanos) {}

  /** A node of this build, or of the build of commit a220539, which reads and writes JSON only. */
  final class Node {
    final NodeInfo self;
    final boolean previousBuild;
    final PeerTable table;
    private final PeerTargets targets;
    private final ReportExchange exchange;
    private final long incarnation = random.nextLong() >>> 1;
    private final long phaseNanos = random.nextInt(5) * STEP_NANOS;
    private final Map<String, UpstreamUsage> usage = new TreeMap<>();
    private final Map<String, Double> usedUnits = new TreeMap<>();
    private final Deque<Running> running = new ArrayDeque<>();
    private final Map<StreamOrigins.Origin, Long> origins = new LinkedHashMap<>();
    private final Map<String, Long> heardNanos = new HashMap<>();
    private long sequence;
    private long sentNanos;
    private long discoveryNanos;
    private long aggregateNanos;
    private long revision;
    private long reportedRevision;
    private boolean changed = true;
    private int ticks;
    long sentBytes;
    long sentBytesToOtherDomains;
    private final Set<String> hearers = new HashSet<>();
    int unreadableReports;

    private Node(int number, boolean previousBuild) {
      this.previousBuild = previousBuild;
      String domain = previousBuild ? "" : "zone-" + number % DOMAINS;
      String host = host(number);
      self = new NodeInfo("gateway-" + number, host, host + ":8221", true, 0.87, domain);
      table = new PeerTable(self);
      table.setAcceptsCallers(true);
      targets = new PeerTargets(table, ImmutableSet.of(host(0), host(1), host(2)), number);
      exchange = new ReportExchange((bytes, to) -> transmit(this, bytes, to));
    }

    private void tick() {
      if (++ticks % 2 == 0) {
        table.refresh(now);
      }
      while (!running.isEmpty() && running.peekFirst().endNanos() <= now) {
        use(running.removeFirst().upstream(), -1);
      }
      origins.values().removeIf(began -> now - began >= ORIGIN_REPORT_NANOS);
      boolean newVersion = readsStore() && revision != reportedRevision;
      if (now - sentNanos >= targets.reportIntervalNanos(changed || newVersion)) {
        sentNanos = now;
        changed = false;
        reportedRevision = revision;
        PeerReport report =
            report(
                ReportScope.NODE, ownLoad(), targets.nodesToAdvertise(now), table.cellCount() == 1);
        sendNext(report, targets.ownCellHosts());
      }
      if (now - discoveryNanos >= targets.discoveryIntervalNanos(now)) {
        discoveryNanos = now;
        send(
            report(ReportScope.NODE, ownLoad(), targets.nodesToAdvertise(now), true),
            targets.discoveryHosts(now));
      }
      if (table.isHead(now) && now - aggregateNanos >= AGGREGATE_INTERVAL_NANOS) {
        aggregateNanos = now;
        sendNext(
            report(
                ReportScope.CELL,
                table.ownCellLoad(ownLoad(), now),
                targets.ownCellNodes(now),
                false),
            targets.otherHeadHosts(now));
        sendNext(
            report(
                ReportScope.OTHER_CELLS,
                table.otherCellsLoad(ownLoad(), now),
                targets.otherCellNodes(now),
                false),
            targets.ownCellHosts());
      }
    }

    private boolean readsStore() {
      return !table.isStoreReadByOthers(now);
    }

    private ReportedLoad ownLoad() {
      ImmutableMap.Builder<String, Double> balances = ImmutableMap.builder();
      usedUnits.forEach((team, used) -> balances.put(team, 100_000 - used + (double) now / MILLI));
      return new ReportedLoad(
          ImmutableMap.copyOf(usage), ImmutableMap.copyOf(usedUnits), balances.buildOrThrow());
    }

    private PeerReport report(
        ReportScope scope,
        ReportedLoad load,
        ImmutableList<NodeInfo> listedNodes,
        boolean replyRequested) {
      PeerReport report =
          new PeerReport(
              table.self(),
              incarnation,
              ++sequence,
              scope,
              table.nodeCount(now),
              table.layout().key(),
              replyRequested,
              new PublishedVersion(0, revision),
              readsStore(),
              load,
              SharedObservations.builder()
                  .streamOrigins(ImmutableList.copyOf(origins.keySet()))
                  .build(),
              listedNodes);
      sentReports.put(incarnation + "/" + sequence, report);
      return report;
    }

    private void sendNext(PeerReport report, Collection<String> hosts) {
      if (previousBuild) {
        hosts.forEach(host -> transmit(this, previousJson(report), host));
      } else {
        exchange.sendNext(report, hosts, now);
      }
    }

    private void send(PeerReport report, Collection<String> hosts) {
      if (previousBuild) {
        hosts.forEach(host -> transmit(this, previousJson(report), host));
      } else {
        exchange.send(report, hosts);
      }
    }

    private void receive(Datagram datagram) {
      PeerReport report;
      byte[] bytes = datagram.content().toByteArray();
      try {
        if (previousBuild) {
          if (bytes[0] != '{') {
            // Nodes that have not heard this process yet cannot know that it reads JSON only.
            unreadableReports += hearers.contains(datagram.from()) ? 1 : 0;
            return;
          }
          report = withoutDomains(JsonReportCodec.decode(bytes).report());
        } else {
          report = exchange.receive(bytes, datagram.from(), now).orElse(null);
        }
      } catch (IOException e) {
        throw new AssertionError("unreadable report from " + datagram.from(), e);
      }
      if (report == null) {
        return;
      }
      assertSameAsSent(report);
      Node sender = nodes.get(datagram.from());
      if (sender != null && sender.incarnation == report.incarnation()) {
        sender.hearers.add(self.host());
      }
      if (report.scope() == ReportScope.NODE) {
        heardNanos.put(report.sender().host(), now);
      }
      if (table.receive(report, now) == PeerTable.ReceiveResult.REPLY_REQUIRED) {
        send(
            report(ReportScope.NODE, ownLoad(), targets.nodesForReply(report.sender(), now), false),
            List.of(report.sender().host()));
      }
    }

    private void startRequest() {
      ImmutableList<Double> weights = table.cellWeights(now);
      String upstream = "engine-" + random.nextInt(UPSTREAMS);
      for (int i = 0; i < MAX_DRAWS && !table.isPreferredUpstream(upstream, weights); i++) {
        upstream = "engine-" + random.nextInt(UPSTREAMS);
      }
      use(upstream, 1);
      running.addLast(new Running(upstream, now + REQUEST_NANOS));
      usedUnits.merge("team-" + random.nextInt(TEAMS), 100.0 + random.nextInt(6_000), Double::sum);
      origins.put(
          new StreamOrigins.Origin("r" + random.nextInt(1_000_000_000), "pool-a", "v1.1"), now);
    }

    private void use(String upstream, int delta) {
      changed = true;
      UpstreamUsage sum =
          usage
              .getOrDefault(upstream, UpstreamUsage.NONE)
              .plus(new UpstreamUsage(delta, 700L * delta));
      if (sum.running() == 0) {
        usage.remove(upstream);
      } else {
        usage.put(upstream, sum);
      }
    }

    /** Returns the time since the last report from each other node of the cell of this node. */
    List<Long> agesInCell() {
      List<Long> ages = new ArrayList<>();
      for (Node other : nodes.values()) {
        if (other != this && sharesCell(other)) {
          ages.add(now - heardNanos.getOrDefault(other.self.host(), 0L));
        }
      }
      return ages;
    }

    private boolean sharesCell(Node other) {
      return targets.ownCellHosts().contains(other.self.host());
    }
  }

  private final Random random;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final PriorityQueue<Datagram> inFlight =
      new PriorityQueue<>(Comparator.comparingLong(Datagram::arrivalNanos));
  private final Map<String, PeerReport> sentReports = new HashMap<>();
  private Faults faults = Faults.NONE;
  private long now = 1_000 * MILLI;

  SimulatedFleet(long seed) {
    random = new Random(seed);
  }

  private static String host(int number) {
    return "10.1." + number % DOMAINS + "." + (10 + number / DOMAINS);
  }

  /** Starts a node, or replaces it by a new process. */
  Node start(int number, boolean previousBuild) {
    Node node = new Node(number, previousBuild);
    nodes.put(node.self.host(), node);
    return node;
  }

  void stop(int number) {
    nodes.remove(host(number));
  }

  Collection<Node> nodes() {
    return nodes.values();
  }

  void setFaults(Faults value) {
    faults = value;
  }

  /** Runs the fleet for some time, with requests per second at each node. */
  void run(long millis, double requestsPerSecond) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += STEP_NANOS;
      while (!inFlight.isEmpty() && inFlight.peek().arrivalNanos() <= now) {
        Datagram datagram = inFlight.remove();
        Node receiver = nodes.get(datagram.to());
        if (receiver != null) {
          receiver.receive(datagram);
        }
      }
      for (Node node : List.copyOf(nodes.values())) {
        if (random.nextDouble() < requestsPerSecond * STEP_NANOS / 1e9) {
          node.startRequest();
        }
        if ((now + node.phaseNanos) % TICK_NANOS == 0) {
          node.tick();
        }
      }
    }
  }

  /** Publishes a new version, which every node reads or fetches. */
  void publish() {
    nodes.values().forEach(node -> node.revision++);
  }

  private void transmit(Node from, byte[] bytes, String to) {
    from.sentBytes += bytes.length;
    if (!from.self.host().startsWith(to.substring(0, to.lastIndexOf('.')))) {
      from.sentBytesToOtherDomains += bytes.length;
    }
    int copies = random.nextDouble() < faults.duplicated() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= faults.dropped()) {
        long delay = 1 + (long) (random.nextDouble() * faults.maxDelayNanos());
        inFlight.add(new Datagram(ByteString.copyFrom(bytes), from.self.host(), to, now + delay));
      }
    }
  }

  /** Checks that a difference was applied to the right base. */
  private void assertSameAsSent(PeerReport report) {
    PeerReport sent = sentReports.get(report.incarnation() + "/" + report.sequence());
    assertEquals(report.sender().node(), sent.sender().node());
    assertEquals(report.scope(), sent.scope());
    assertEquals(report.nodeCount(), sent.nodeCount());
    assertEquals(report.cellCount(), sent.cellCount());
    assertEquals(report.version(), sent.version());
    assertEquals(report.readsStore(), sent.readsStore());
    assertEquals(report.load().usage(), sent.load().usage());
    assertEquals(report.load().usedQuotaUnits(), sent.load().usedQuotaUnits());
    if (report.scope() != ReportScope.NODE) {
      assertEquals(hosts(report), hosts(sent));
    }
  }

  private static List<String> hosts(PeerReport report) {
    return report.listedNodes().stream().map(NodeInfo::host).toList();
  }

  /** Returns the sum of the usage of all nodes but one. */
  ImmutableMap<String, UpstreamUsage> usageOfOthers(Node excluded) {
    Map<String, UpstreamUsage> sum = new TreeMap<>();
    nodes.values().stream()
        .filter(node -> node != excluded)
        .forEach(node -> node.usage.forEach((id, one) -> sum.merge(id, one, UpstreamUsage::plus)));
    return ImmutableMap.copyOf(sum);
  }

  /** Ends no more requests, so that the usage stays as it is. */
  void freezeRequests() {
    nodes.values().forEach(node -> node.running.clear());
  }

  long now() {
    return now;
  }

  private static PeerReport withoutDomains(PeerReport report) {
    return new PeerReport(
        withoutDomain(report.sender()),
        report.incarnation(),
        report.sequence(),
        report.scope(),
        report.nodeCount(),
        report.cellCount(),
        report.replyRequested(),
        report.version(),
        report.readsStore(),
        report.load(),
        report.observations(),
        report.listedNodes().stream()
            .map(SimulatedFleet::withoutDomain)
            .collect(ImmutableList.toImmutableList()));
  }

  private static NodeInfo withoutDomain(NodeInfo node) {
    return new NodeInfo(
        node.node(), node.host(), node.callerAddress(), node.acceptsCallers(), node.cores());
  }

  /** Returns a report as the previous build encodes it. */
  private static byte[] previousJson(PeerReport report) {
    String json =
        new String(JsonReportCodec.encode(withoutDomains(report)), StandardCharsets.UTF_8);
    String previous = json.replaceFirst("\"x\":1,", "").replace(",\"\"]", "]");
    assertNotEquals(previous, json);
    return previous.getBytes(StandardCharsets.UTF_8);
  }
}
