package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Registers of several nodes that tell each other with a delay, while requests arrive at any of
 * them. Time passes in steps.
 */
final class RegisterFleet {
  static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  static final long STEP = 10 * MILLISECOND;
  static final long CONTACT = 3_000 * MILLISECOND;
  private static final long REPORT_INTERVAL = 300 * MILLISECOND;
  private static final long REPORT_DELAY = 300 * MILLISECOND;
  private static final long OUTCOME_DELAY = 160 * MILLISECOND;

  private record Event(long atNanos, Runnable action) {}

  /** How many requests of a kind were sent and refused. */
  static final class Tally {
    private int sentCount;
    private int refusedCount;

    private boolean count(boolean isSent) {
      sentCount += isSent ? 1 : 0;
      refusedCount += isSent ? 0 : 1;
      return isSent;
    }

    int total() {
      return sentCount + refusedCount;
    }

    int refused() {
      return refusedCount;
    }
  }

  private static final class Node {
    private final CrashRegister register = new CrashRegister();
    private final long startNanos;

    Node(long startNanos) {
      this.startNanos = startNanos;
    }
  }

  private record Crash(long atNanos, boolean isInTouch) {}

  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
  private final SplittableRandom random;
  private final List<Crash> crashes = new ArrayList<>();
  private int upstreamCount;
  private long now;

  RegisterFleet(int nodeCount, int seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(-CONTACT));
    }
  }

  long now() {
    return now;
  }

  /** Lets one step of time pass. */
  void step() {
    now += STEP;
    while (!events.isEmpty() && events.peek().atNanos() <= now) {
      events.poll().action().run();
    }
    if (now % REPORT_INTERVAL == 0) {
      exchangeReports();
    }
  }

  /** Returns whether something that happens so often happens in this step. */
  boolean isDue(double perSecond) {
    return random.nextDouble() < perSecond * STEP / TimeUnit.SECONDS.toNanos(1);
  }

  int nextInt(int bound) {
    return random.nextInt(bound);
  }

  private void exchangeReports() {
    long at = now + REPORT_DELAY;
    for (Node sender : nodes) {
      ImmutableList<CrashRegister.Report> reports = sender.register.reports(now);
      events.add(
          new Event(
              at,
              () ->
                  nodes.stream()
                      .filter(node -> node != sender)
                      .forEach(node -> node.register.reported(reports, at))));
    }
  }

  /** Replaces a node by one that has just started. */
  void restartNode(int index) {
    nodes.set(index, new Node(now));
  }

  /** Sends a request that ends its upstream. */
  void sendCrashing(List<Long> keys) {
    Node node = randomNode();
    if (isSent(node, keys)) {
      crashes.add(new Crash(now, now - node.startNanos >= CONTACT));
      String upstream = nextUpstream();
      long at = now + OUTCOME_DELAY;
      events.add(new Event(at, () -> node.register.crashed(keys, upstream, 0, at, at)));
    }
  }

  /** Sends a request that an upstream answers. */
  void sendSound(List<Long> keys, Tally tally) {
    Node node = randomNode();
    if (tally.count(isSent(node, keys))) {
      long at = now + OUTCOME_DELAY;
      events.add(new Event(at, () -> node.register.answered(keys, at)));
    }
  }

  /** Sends a request to each of the nodes that an upstream is lost with, for another reason. */
  void loseUpstream(List<List<Long>> requests, Tally tally) {
    String upstream = nextUpstream();
    long at = now + OUTCOME_DELAY;
    for (List<Long> keys : requests) {
      Node node = randomNode();
      if (tally.count(isSent(node, keys))) {
        events.add(new Event(at, () -> node.register.crashed(keys, upstream, 0, at, at)));
      }
    }
  }

  private String nextUpstream() {
    return "u" + ++upstreamCount;
  }

  private Node randomNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  /** Returns a key that no other request has. */
  long uniqueKey() {
    return random.nextLong() | Long.MIN_VALUE;
  }

  private boolean isSent(Node node, List<Long> keys) {
    CrashRegister.Verdict verdict = node.register.judge(keys, now);
    if (verdict.isProbe()) {
      node.register.probeSent(verdict.probedKeys(), now);
    }
    return verdict.refusalNanos() == 0;
  }

  int crashCount() {
    return crashes.size();
  }

  /** Returns whether so many upstreams have ended, and a time has passed since. */
  boolean isAfterCrash(int count, long nanos) {
    return crashes.size() >= count && now > crashes.get(count - 1).atNanos() + nanos;
  }

  /**
   * Returns how many requests were sent later than the contact time after so many crashes, by nodes
   * that had run for as long.
   */
  long lateCrashCount(int count) {
    return crashes.size() <= count
        ? 0
        : crashes.stream()
            .filter(Crash::isInTouch)
            .filter(crash -> crash.atNanos() > crashes.get(count - 1).atNanos() + CONTACT)
            .count();
  }
}
