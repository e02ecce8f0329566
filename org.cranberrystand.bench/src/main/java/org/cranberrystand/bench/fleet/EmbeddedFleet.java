package org.cranberrystand.bench.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.fake.FakeModelEngine;
import org.cranberrystand.fake.FakeOrderService;
import org.cranberrystand.fake.FakePlatform;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.platform.VmEntry;
import org.cranberrystand.wire.settings.NodeSettings;

/**
 * A small fleet in one process, connected by real sockets on loopback.
 *
 * <p>Not thread-safe.
 */
public final class EmbeddedFleet implements AutoCloseable {
  private static final HostAndPort ANY_PORT = HostAndPort.fromParts("127.0.0.1", 0);
  private static final String OPERATOR_TOKEN = "embedded-operator-token";
  private static final String FLEET_KEY = "embedded-fleet-key-0001";
  private static final String KEY_ID = "embedded";

  private final FakePlatform platform;
  private final KeyPair operatorKeys = BundleSignatures.generateKeyPair();
  private final List<Node> nodes = new ArrayList<>();
  private final List<FakeModelEngine> engines = new ArrayList<>();
  private final List<FakeOrderService> services = new ArrayList<>();

  /**
   * Creates a fleet that consists of the platform only.
   *
   * @throws Exception if the platform cannot be started
   */
  public EmbeddedFleet() throws Exception {
    this.platform = new FakePlatform();
  }

  public FakePlatform platform() {
    return platform;
  }

  public ImmutableList<Node> nodes() {
    return ImmutableList.copyOf(nodes);
  }

  public ImmutableList<FakeModelEngine> engines() {
    return ImmutableList.copyOf(engines);
  }

  public ImmutableList<FakeOrderService> services() {
    return ImmutableList.copyOf(services);
  }

  /**
   * Signs and publishes a bundle.
   *
   * @param text the TOML text
   */
  public void publish(String text) {
    platform.publish(
        "bundle/head", Json.toText(BundleSignatures.sign(text, KEY_ID, operatorKeys.getPrivate())));
  }

  /**
   * Starts an engine and lists it.
   *
   * @param pool the pool it serves
   * @param speed how fast it is
   * @return the engine
   * @throws Exception if it cannot be started
   */
  public FakeModelEngine addEngine(String pool, EngineSpeed speed) throws Exception {
    FakeModelEngine engine = new FakeModelEngine(pool + "-" + engines.size(), speed);
    engines.add(engine);
    platform.addVm(
        VmEntry.upstream(engine.name(), pool, engine.address().toString(), domain(engines.size())));
    return engine;
  }

  /**
   * Starts a plain service and lists it.
   *
   * @param pool the pool it serves
   * @return the service
   * @throws Exception if it cannot be started
   */
  public FakeOrderService addService(String pool) throws Exception {
    FakeOrderService service = new FakeOrderService(pool + "-" + services.size());
    services.add(service);
    platform.addVm(
        VmEntry.upstream(
            service.name(), pool, service.address().toString(), domain(services.size())));
    return service;
  }

  /**
   * Starts a node and lists it.
   *
   * @return the node
   * @throws Exception if it cannot be started
   */
  public Node addNode() throws Exception {
    return addNode(MonotonicClock.system(), new Scheduler());
  }

  /**
   * Starts a node with a clock and a dispatch policy of its own and lists it.
   *
   * @param clock the clock of the node
   * @param policy the policy; used by this node only
   * @return the node
   * @throws Exception if the node cannot be started
   */
  public Node addNode(MonotonicClock clock, DispatchPolicy policy) throws Exception {
    String name = "node-" + nodes.size();
    String domain = domain(nodes.size());
    NodeSettings settings =
        new NodeSettings(
            name,
            domain,
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            OPERATOR_TOKEN,
            ImmutableList.of(FLEET_KEY),
            ImmutableMap.of(KEY_ID, BundleSignatures.encode(operatorKeys.getPublic())),
            platform.address(),
            platform.address(),
            ImmutableList.of(),
            NodeSettings.Limits.defaults());
    Node node = Node.start(settings, clock, policy);
    nodes.add(node);
    platform.addVm(
        new VmEntry(
            name,
            VmEntry.ROLE_ENTRY,
            "",
            node.callerAddress().toString(),
            node.peerAddress().toString(),
            domain,
            VmEntry.STATE_LIVE));
    return node;
  }

  @Override
  public void close() throws Exception {
    for (Node node : nodes) {
      node.close();
    }
    for (FakeModelEngine engine : engines) {
      engine.close();
    }
    for (FakeOrderService service : services) {
      service.close();
    }
    platform.close();
  }

  private static String domain(int index) {
    return "domain-" + (char) ('a' + index % 3);
  }
}
