package org.cranberrystand.membership;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.ColdTolerance;
import org.cranberrystand.dispatch.ColdUpstreams;
import org.cranberrystand.dispatch.DispatchOutput;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.routing.ColdStart;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A failure domain that comes back cold under load, simulated without a network. */
public final class ColdDomainTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long STEP = 5 * MILLI;
  private static final long TICK = 50 * MILLI;
  private static final long REPORT = 100 * MILLI;
  private static final int DOMAINS = 4;
  private static final int PER_DOMAIN = 10;
  private static final int SLOTS = 8;
  private static final long SERVICE = 200 * MILLI;
  private static final long MAX_LATENCY = 20 * MILLI;
  private static final long RETURN = 4 * SECOND;
  private static final long END = 12 * SECOND;

  /** Requests relative to what the three other domains serve. */
  private static final double LOAD = 0.95;

  private static final double COLD_PER_SECOND = 9.3;
  private static final int MAX_PER_SECOND = 18;

  /** A node sends as soon as a request waits and its interval has passed, checked each tick. */
  private static final double MIN_USED_FRACTION = 0.75;

  private record Ending(long atNanos, int node, long key) {}

  private static final class Node implements DispatchOutput {
    private final PeerTable table;
    private final ColdUpstreams cold = new ColdUpstreams(Optional.of(new ColdTolerance(1.5, 5)));
    private final CallDispatcher dispatcher;
    private final ColdDomainTest fleet;
    private final int number;
    private RateShare share;
    private ImmutableMap<String, UpstreamUsage> reported = ImmutableMap.of();

    private Node(ColdDomainTest fleet, int number) {
      this.fleet = fleet;
      this.number = number;
      NodeInfo self = new NodeInfo("n" + number, "10.0.0." + number, "c" + number, true, 1);
      table = new PeerTable(self);
      table.setAcceptsCallers(true);
      table.expectPeers();
      dispatcher = new CallDispatcher(this, number);
      cold.declared(ImmutableMap.of("llm", new ColdStart(60_000, COLD_PER_SECOND)));
    }

    private long interval(RegisteredUpstream upstream) {
      return cold.bound(upstream, fleet.now)
          .map(bound -> share.minIntervalNanos(upstream.id(), bound))
          .orElse(0L);
    }

    @Override
    public void send(CallSpec call, RegisteredUpstream upstream, PlacementChoice choice) {
      fleet.sent(this, call, upstream);
    }

    @Override
    public void refuse(CallSpec call, NotRunReason reason, long retryAfterMillis) {
      fleet.refused++;
    }
  }

  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Ending> endings =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
  private final Map<String, List<Long>> arrivals = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private Random random;
  private long now;
  private int refused;
  private int submitted;
  private int mostRunningBefore;
  private int mostRunningAfter;

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{8, 0.0}, {8, 0.2}, {30, 0.0}, {30, 0.2}};
  }

  private static ImmutableList<RegisteredUpstream> upstreams(int firstDomain) {
    ImmutableList.Builder<RegisteredUpstream> list = ImmutableList.builder();
    for (int domain = firstDomain; domain < DOMAINS; domain++) {
      for (int i = 0; i < PER_DOMAIN; i++) {
        String id = "d" + domain + "-" + i;
        list.add(
            new RegisteredUpstream(id, "llm", id + ":1", "d" + domain, "", SLOTS, 1, 0, false));
      }
    }
    return list.build();
  }

  private void sent(Node node, CallSpec call, RegisteredUpstream upstream) {
    long arrival = now + (long) (random.nextDouble() * MAX_LATENCY);
    arrivals.computeIfAbsent(upstream.id(), id -> new ArrayList<>()).add(arrival);
    int count = running.merge(upstream.id(), 1, Integer::sum);
    if (!upstream.failureDomain().equals("d0")) {
      if (now < RETURN) {
        mostRunningBefore = Math.max(mostRunningBefore, count);
      } else {
        mostRunningAfter = Math.max(mostRunningAfter, count);
      }
    }
    endings.add(new Ending(arrival + SERVICE, node.number, call.key()));
    atUpstream.put(call.key(), upstream.id());
  }

  private final Map<Long, String> atUpstream = new HashMap<>();

  private void start(int count, double wrong) {
    nodes.clear();
    endings.clear();
    arrivals.clear();
    running.clear();
    atUpstream.clear();
    random = new Random(count);
    refused = 0;
    submitted = 0;
    mostRunningBefore = 0;
    mostRunningAfter = 0;
    now = 0;
    for (int i = 0; i < count; i++) {
      nodes.add(new Node(this, i));
    }
    for (Node receiver : nodes) {
      for (Node sender : nodes) {
        if (random.nextDouble() >= wrong) {
          receiver.table.receive(report(sender), 0);
        }
      }
    }
    for (Node node : nodes) {
      node.share = node.table.rateShare(2 * SECOND);
      node.dispatcher.upstreamsChanged(upstreams(1), 0);
      node.dispatcher.minSendIntervalsChanged(node::interval);
    }
  }

  private static PeerReport report(Node sender) {
    return new PeerReport(
        sender.table.self(),
        1,
        1,
        ReportScope.NODE,
        1,
        1,
        false,
        new PublishedVersion(0, 0),
        false,
        ReportedLoad.NONE,
        SharedObservations.NONE,
        ImmutableList.of());
  }

  private void run(double perSecond) {
    long key = 0;
    double due = 0;
    for (; now < END; now += STEP) {
      if (now == RETURN) {
        nodes.forEach(this::domainReturns);
      }
      while (!endings.isEmpty() && endings.peek().atNanos() <= now) {
        Ending ending = endings.remove();
        running.merge(atUpstream.remove(ending.key()), -1, Integer::sum);
        nodes.get(ending.node()).dispatcher.ended(ending.key(), CallEnding.ANSWERED, now);
      }
      if (now % REPORT == 0) {
        exchangeUsage();
      }
      if (now % TICK == 0) {
        nodes.forEach(node -> node.dispatcher.tick(now));
      }
      for (due += perSecond * STEP / SECOND; due >= 1; due--) {
        CallSpec call =
            CallSpec.builder(++key, "llm")
                .streaming(false)
                .size(500, 1)
                .times(now, now + 500 * MILLI, now + 3 * SECOND)
                .build();
        submitted++;
        nodes.get(random.nextInt(nodes.size())).dispatcher.submit(call, null, now);
      }
    }
  }

  private void domainReturns(Node node) {
    ImmutableList<RegisteredUpstream> all = upstreams(0);
    all.forEach(upstream -> node.cold.registered(upstream, 1, now));
    node.cold.treatAsCold(
        all.stream().filter(upstream -> upstream.failureDomain().equals("d0")).toList(),
        ColdUpstreams.Cause.EVACUATION_ENDED,
        now);
    node.dispatcher.upstreamsChanged(all, now);
  }

  private void exchangeUsage() {
    nodes.forEach(node -> node.reported = node.dispatcher.ownUsage());
    for (Node node : nodes) {
      ReportedLoad.Sum sum = new ReportedLoad.Sum();
      nodes.stream()
          .filter(other -> other != node)
          .forEach(
              other ->
                  sum.addUsage(
                      new ReportedLoad(other.reported, ImmutableMap.of(), ImmutableMap.of())));
      node.dispatcher.peerUsageChanged(sum.usage(), now);
    }
  }

  private static long mostInASecond(List<Long> times) {
    return times.stream()
        .mapToLong(start -> times.stream().filter(t -> t >= start && t - start < SECOND).count())
        .max()
        .orElse(0);
  }

  /**
   * Guards against cold upstreams that are overloaded or left idle when their domain returns, and
   * against other upstreams that receive their requests in addition to their own.
   */
  @Test(dataProvider = "fleets")
  public void returningDomainGetsWhatItTolerates(int count, double wrong) {
    start(count, wrong);
    run(LOAD * (DOMAINS - 1) * PER_DOMAIN * SLOTS * SECOND / (SERVICE + MAX_LATENCY));

    long most = 0;
    double coldRequests = 0;
    for (RegisteredUpstream upstream : upstreams(0)) {
      if (upstream.failureDomain().equals("d0")) {
        List<Long> times = arrivals.getOrDefault(upstream.id(), List.of());
        most = Math.max(most, mostInASecond(times));
        coldRequests += times.size();
      }
    }
    double rate = coldRequests / PER_DOMAIN / ((double) (END - RETURN) / SECOND);
    String measured =
        "most "
            + most
            + ", mean rate "
            + rate
            + ", refused "
            + refused
            + " of "
            + submitted
            + ", most running before "
            + mostRunningBefore
            + " after "
            + mostRunningAfter;
    assertTrue(most <= MAX_PER_SECOND, measured);
    assertTrue(rate >= MIN_USED_FRACTION * COLD_PER_SECOND, measured);
    assertTrue(mostRunningAfter <= mostRunningBefore, measured);
    assertTrue(refused <= 0.01 * submitted, measured);
  }
}
