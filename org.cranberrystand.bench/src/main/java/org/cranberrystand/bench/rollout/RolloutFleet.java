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
 * An embedded fleet with a bundle whose version grows.
 *
 * <p>Each failure domain has an access of its own to the platform. Not thread-safe.
 */
public final class RolloutFleet implements AutoCloseable {
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);
  private static final double NANOS_PER_SECOND = 1e9;

  private final EmbeddedFleet fleet;
  private final String template;
  private final long[] highestVersions;
  private long version = 1;
  private long reverts;

  /**
   * Starts a fleet and waits until all nodes serve and know each other.
   *
   * @param size the number of nodes
   * @param domains the number of failure domains
   * @throws Exception if it cannot be started
   */
  public RolloutFleet(int size, int domains) throws Exception {
    this.template = bundleText(version);
    this.highestVersions = new long[size];
    this.fleet = new EmbeddedFleet(domains, true);
    fleet.publish(text(version));
    for (int i = 0; i < size; i++) {
      fleet.addNode();
    }
    await(READY_TIMEOUT, n -> n.state().readiness().mayDispatch() && alive(n) == size - 1);
  }

  public EmbeddedFleet fleet() {
    return fleet;
  }

  /**
   * Returns how often a node was seen with an older version than before.
   *
   * @return the number since the start
   */
  public long reverts() {
    return reverts;
  }

  /**
   * Publishes the next version.
   *
   * @return the text of the bundle
   */
  public String publishNext() {
    String text = text(++version);
    fleet.publish(text);
    return text;
  }

  /** Pushes the next version to one node, as operators do while the service is down. */
  public void pushNext() {
    fleet.nodes().get(0).offerBundle(fleet.sign(text(++version)));
  }

  /**
   * Waits until the latest version is in force on some nodes.
   *
   * @param timeout how long to wait
   * @param nodes the nodes to wait for
   * @return the time until it was in force on each node, in seconds
   * @throws Exception if it takes longer
   */
  public List<Double> awaitInForce(Duration timeout, List<Node> nodes) throws Exception {
    long start = System.nanoTime();
    List<Node> missing = new ArrayList<>(nodes);
    List<Double> seconds = new ArrayList<>();
    while (!missing.isEmpty()) {
      checkReverts();
      double elapsed = (System.nanoTime() - start) / NANOS_PER_SECOND;
      missing.removeIf(node -> versionOf(node) >= version && seconds.add(elapsed));
      if (elapsed > timeout.toSeconds()) {
        throw new TimeoutException(missing.size() + " nodes do not have version " + version);
      }
      Thread.sleep(2);
    }
    return seconds;
  }

  /**
   * Waits until all nodes meet a condition.
   *
   * @param timeout how long to wait
   * @param condition the condition
   * @throws Exception if it takes longer
   */
  public void await(Duration timeout, Predicate<Node> condition) throws Exception {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (!fleet.nodes().stream().allMatch(condition)) {
      if (System.nanoTime() > deadline) {
        throw new TimeoutException("the fleet did not get there in " + timeout);
      }
      Thread.sleep(20);
    }
  }

  /**
   * Returns how many members a node regards as alive.
   *
   * @param node the node
   * @return the number, without the node itself
   */
  public static long alive(Node node) {
    return node.state().membership().get().all().stream()
        .filter(r -> r.state() == MemberState.ALIVE)
        .count();
  }

  /**
   * Returns the nodes of the first failure domain or of all others.
   *
   * @param first whether to return those of the first one
   * @return the nodes
   */
  public ImmutableList<Node> nodes(boolean first) {
    String domain = fleet.nodes().get(0).state().settings().failureDomain();
    return fleet.nodes().stream()
        .filter(n -> n.state().settings().failureDomain().equals(domain) == first)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the calls for values that the configuration service received.
   *
   * @return the number since the start
   */
  public long configCalls() {
    return fleet.platforms().stream().mapToLong(FakePlatform::configCallCount).sum();
  }

  /**
   * Returns the control bytes of all nodes.
   *
   * @return the number since the start
   */
  public long controlBytes() {
    return fleet.nodes().stream().mapToLong(n -> n.state().controlCost().bytes()).sum();
  }

  /**
   * Returns the control messages of all nodes.
   *
   * @return the number since the start
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
      long seen = versionOf(nodes.get(i));
      if (seen < highestVersions[i]) {
        reverts++;
      }
      highestVersions[i] = seen;
    }
  }

  private static long versionOf(Node node) {
    return node.state().bundles().current().map(Bundle::version).orElse(0L);
  }

  private String text(long number) {
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
