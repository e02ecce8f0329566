package org.cranberrystand.bench.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.cranberrystand.bench.demo.Demo;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.fake.FakePlatform;
import org.cranberrystand.membership.MemberState;

/**
 * Embedded fleet that publishes bundles with increasing versions.
 *
 * <p>Each failure domain has its own fake platform. Not thread-safe.
 */
public final class RolloutFleet implements AutoCloseable {
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);
  private static final double NANOS_PER_SECOND = 1e9;

  private final EmbeddedFleet fleet;
  private final String template;
  private final long[] highestVersions;
  private long version = 1;
  private long revertCount;

  /**
   * Starts a fleet and waits until all nodes serve and see each other as alive.
   *
   * @param size the number of nodes
   * @param domains the number of failure domains
   * @throws Exception if it cannot be started
   */
  public RolloutFleet(int size, int domains) throws Exception {
    this.template = bundleText(version);
    this.highestVersions = new long[size];
    this.fleet = new EmbeddedFleet(domains, true);
    fleet.publish(textOfVersion(version));
    for (int i = 0; i < size; i++) {
      fleet.addNode();
    }
    await(READY_TIMEOUT, n -> n.state().readiness().mayDispatch() && aliveMembers(n) == size - 1);
  }

  public EmbeddedFleet fleet() {
    return fleet;
  }

  /**
   * Returns how many times a node went back to an older version.
   *
   * @return the count since the start
   */
  public long revertCount() {
    return revertCount;
  }

  /**
   * Publishes the next version.
   *
   * @return the text of the bundle
   */
  public String publishNext() {
    String text = textOfVersion(++version);
    fleet.publish(text);
    return text;
  }

  /** Pushes the next version to one node, as operators do while the service is down. */
  public void pushNext() {
    fleet.nodes().get(0).offerBundle(fleet.sign(textOfVersion(++version)));
  }

  /**
   * Waits until the latest version is in force on some nodes.
   *
   * @param timeout the maximum time to wait
   * @param nodes the nodes to wait for
   * @return the time until it was in force on each node, in seconds
   * @throws Exception if the timeout expires
   */
  public List<Double> awaitInForce(Duration timeout, List<Node> nodes) throws Exception {
    long startNanos = System.nanoTime();
    List<Node> pending = new ArrayList<>(nodes);
    List<Double> seconds = new ArrayList<>();
    while (!pending.isEmpty()) {
      checkReverts();
      double elapsed = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
      pending.removeIf(node -> bundleVersion(node) >= version && seconds.add(elapsed));
      if (elapsed > timeout.toSeconds()) {
        throw new TimeoutException(pending.size() + " nodes do not have version " + version);
      }
      Thread.sleep(2);
    }
    return seconds;
  }

  /**
   * Waits until all nodes meet a condition.
   *
   * @param timeout the maximum time to wait
   * @param condition the condition
   * @throws Exception if the timeout expires
   */
  public void await(Duration timeout, Predicate<Node> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (!fleet.nodes().stream().allMatch(condition)) {
      if (System.nanoTime() > deadlineNanos) {
        throw new TimeoutException("not all nodes met the condition within " + timeout);
      }
      Thread.sleep(20);
    }
  }

  /**
   * Returns the number of members that a node regards as alive.
   *
   * @param node the node
   * @return the number, without the node itself
   */
  public static long aliveMembers(Node node) {
    return node.state().membership().get().all().stream()
        .filter(r -> r.state() == MemberState.ALIVE)
        .count();
  }

  /**
   * Returns the nodes of the first failure domain or of all others.
   *
   * @param inFirst whether to return the nodes of the first failure domain
   * @return the nodes
   */
  public ImmutableList<Node> nodesInFirstDomain(boolean inFirst) {
    String domain = fleet.nodes().get(0).state().settings().failureDomain();
    return fleet.nodes().stream()
        .filter(n -> n.state().settings().failureDomain().equals(domain) == inFirst)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the number of calls for values that the configuration service received.
   *
   * @return the count since the start
   */
  public long configCalls() {
    return fleet.platforms().stream().mapToLong(FakePlatform::configCallCount).sum();
  }

  /**
   * Returns the bytes of control traffic of all nodes.
   *
   * @return the count since the start
   */
  public long controlBytes() {
    return fleet.nodes().stream().mapToLong(n -> n.state().controlCost().bytes()).sum();
  }

  /**
   * Returns the messages of control traffic of all nodes.
   *
   * @return the count since the start
   */
  public long controlMessages() {
    return fleet.nodes().stream().mapToLong(n -> n.state().controlCost().messages()).sum();
  }

  @Override
  public void close() throws Exception {
    fleet.close();
  }

  private void checkReverts() {
    ImmutableList<Node> nodes = fleet.nodes();
    for (int i = 0; i < nodes.size(); i++) {
      long currentVersion = bundleVersion(nodes.get(i));
      if (currentVersion < highestVersions[i]) {
        revertCount++;
      }
      highestVersions[i] = currentVersion;
    }
  }

  private static long bundleVersion(Node node) {
    return node.state().bundles().current().map(Bundle::version).orElse(0L);
  }

  private String textOfVersion(long number) {
    return template.replaceFirst("version = 1", "version = " + number);
  }

  /**
   * Reads the text of the bundle used by the benchmarks.
   *
   * @param number its version
   * @return the TOML text
   * @throws IOException if the resource is missing
   */
  public static String bundleText(long number) throws IOException {
    String text =
        Resources.toString(
            Resources.getResource(Demo.class, "bundle.toml"), StandardCharsets.UTF_8);
    return text.replaceFirst("version = 1", "version = " + number);
  }
}
