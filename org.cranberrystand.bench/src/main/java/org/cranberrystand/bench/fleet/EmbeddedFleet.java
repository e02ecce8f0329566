package org.cranberrystand.bench.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.daemon.NodeOptions;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.fake.FakeModelEngine;
import org.cranberrystand.fake.FakeOrderService;
import org.cranberrystand.fake.FakePlatform;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.platform.VmEntry;
import org.cranberrystand.wire.security.FleetKeys;
import org.cranberrystand.wire.settings.NodeSettings;

/**
 * Small fleet of nodes, fake upstreams and a fake platform in one process, over loopback sockets.
 *
 * <p>Not thread-safe.
 */
public final class EmbeddedFleet implements AutoCloseable {
  private static final HostAndPort ANY_PORT = HostAndPort.fromParts("127.0.0.1", 0);
  private static final String OPERATOR_TOKEN = "embedded-operator-token";
  private static final String FLEET_KEY = "embedded-fleet-key-0001";
  private static final String KEY_ID = "embedded";

  private static final long FAULT_SEED = 11;
  private static final int DEFAULT_FAILURE_DOMAINS = 3;

  private final ImmutableList<FakePlatform> platforms;
  private final FleetFaults faults = new FleetFaults(FAULT_SEED);
  private final int failureDomains;
  private int startedNodeCount;
  private final KeyPair operatorKeys = BundleSignatures.generateKeyPair();
  private final List<Node> nodes = new ArrayList<>();
  private final List<FakeModelEngine> engines = new ArrayList<>();
  private final List<FakeOrderService> services = new ArrayList<>();

  /**
   * Creates a fleet without nodes and upstreams.
   *
   * @throws Exception if the platform cannot be started
   */
  public EmbeddedFleet() throws Exception {
    this(DEFAULT_FAILURE_DOMAINS, false);
  }

  /**
   * Creates a fleet without nodes and upstreams.
   *
   * @param failureDomains the number of failure domains
   * @param platformPerDomain whether each failure domain gets its own fake platform, so that it can
   *     be partitioned
   * @throws Exception if the platform cannot be started
   */
  public EmbeddedFleet(int failureDomains, boolean platformPerDomain) throws Exception {
    this.failureDomains = failureDomains;
    ImmutableList.Builder<FakePlatform> builder = ImmutableList.builder();
    for (int i = 0; i < (platformPerDomain ? failureDomains : 1); i++) {
      builder.add(new FakePlatform());
    }
    this.platforms = builder.build();
  }

  public FakePlatform platform() {
    return platforms.get(0);
  }

  public ImmutableList<FakePlatform> platforms() {
    return platforms;
  }

  /**
   * Returns the fleet keys of the nodes.
   *
   * @return the keys
   */
  public static FleetKeys fleetKeys() {
    return new FleetKeys(ImmutableList.of(FLEET_KEY));
  }

  public FleetFaults faults() {
    return faults;
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
    publish(sign(text));
  }

  /**
   * Publishes a signed bundle without checking it.
   *
   * @param signed the bundle
   */
  public void publish(SignedBundle signed) {
    platforms.forEach(platform -> platform.publish("bundle/head", Json.toText(signed)));
  }

  /**
   * Signs a bundle with the operators' key.
   *
   * @param text the TOML text
   * @return the signed bundle
   */
  public SignedBundle sign(String text) {
    return BundleSignatures.sign(text, KEY_ID, operatorKeys.getPrivate());
  }

  /**
   * Starts an engine and adds it to the VM list.
   *
   * @param pool the pool it serves
   * @param speed the speed of the engine
   * @return the engine
   * @throws Exception if it cannot be started
   */
  public FakeModelEngine addEngine(String pool, EngineSpeed speed) throws Exception {
    FakeModelEngine engine = new FakeModelEngine(pool + "-" + engines.size(), speed);
    engines.add(engine);
    addToVmList(
        VmEntry.upstream(
            engine.name(), pool, engine.address().toString(), failureDomain(engines.size())));
    return engine;
  }

  /**
   * Starts a plain service and adds it to the VM list.
   *
   * @param pool the pool it serves
   * @return the service
   * @throws Exception if it cannot be started
   */
  public FakeOrderService addService(String pool) throws Exception {
    FakeOrderService service = new FakeOrderService(pool + "-" + services.size());
    services.add(service);
    addToVmList(
        VmEntry.upstream(
            service.name(), pool, service.address().toString(), failureDomain(services.size())));
    return service;
  }

  /**
   * Starts a node and adds it to the VM list.
   *
   * @return the node
   * @throws Exception if it cannot be started
   */
  public Node addNode() throws Exception {
    return addNode(MonotonicClock.system(), new Scheduler());
  }

  /**
   * Starts a node with its own clock and adds it to the VM list.
   *
   * @param clock the clock of the node
   * @return the node
   * @throws Exception if it cannot be started
   */
  public Node addNode(MonotonicClock clock) throws Exception {
    return addNode(clock, new Scheduler());
  }

  /**
   * Starts a node with its own clock and dispatch policy and adds it to the VM list.
   *
   * @param clock the clock of the node
   * @param policy the policy; used by this node only
   * @return the node
   * @throws Exception if the node cannot be started
   */
  public Node addNode(MonotonicClock clock, DispatchPolicy policy) throws Exception {
    int index = startedNodeCount++;
    String name = "node-" + index;
    String failureDomain = failureDomain(index);
    FakePlatform platform = platforms.get(index % failureDomains % platforms.size());
    NodeSettings settings =
        new NodeSettings(
            name,
            failureDomain,
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            OPERATOR_TOKEN,
            ImmutableList.of(FLEET_KEY),
            ImmutableMap.of(KEY_ID, BundleSignatures.encodeKey(operatorKeys.getPublic())),
            platform.address(),
            platform.address(),
            ImmutableList.of(),
            NodeSettings.Limits.defaults());
    Node node = Node.start(settings, clock, NodeOptions.embedded(faults), policy);
    nodes.add(node);
    faults.register(node.peerAddress().toString(), name);
    addToVmList(
        new VmEntry(
            name,
            VmEntry.ROLE_ENTRY,
            "",
            node.callerAddress().toString(),
            node.peerAddress().toString(),
            failureDomain,
            VmEntry.STATE_LIVE));
    return node;
  }

  /**
   * Returns settings for a node that runs in a separate process.
   *
   * @param name the name of the node
   * @return the settings in TOML
   */
  public String settingsText(String name) {
    return """
        node = "%s"
        failure_domain = "domain-a"
        [listen]
        callers = "%s"
        peers = "%s"
        operators = "%s"
        [platform]
        config_service = "%s"
        vm_list = "%s"
        [security]
        operator_token = "%s"
        fleet_keys = ["%s"]
        [[security.trusted_keys]]
        id = "%s"
        public_key = "%s"
        """
        .formatted(
            name,
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            platform().address(),
            platform().address(),
            OPERATOR_TOKEN,
            FLEET_KEY,
            KEY_ID,
            BundleSignatures.encodeKey(operatorKeys.getPublic()));
  }

  /**
   * Stops a node without a drain, as a crash does; it stays on the VM list.
   *
   * @param node the node
   * @throws Exception if it cannot be stopped
   */
  public void kill(Node node) throws Exception {
    nodes.remove(node);
    node.close();
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
    for (FakePlatform platform : platforms) {
      platform.close();
    }
  }

  private void addToVmList(VmEntry entry) {
    platforms.forEach(platform -> platform.addVm(entry));
  }

  private String failureDomain(int index) {
    return "domain-" + (char) ('a' + index % failureDomains);
  }
}
