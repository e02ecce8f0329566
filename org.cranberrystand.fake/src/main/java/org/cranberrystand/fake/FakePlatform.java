package org.cranberrystand.fake;

import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.platform.VmEntry;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/**
 * Fake platform: configuration service and VM list.
 *
 * <p>Nodes only read and watch values; the test publishes them in place of the operators. Safe for
 * use by several threads.
 */
public final class FakePlatform implements AutoCloseable {
  private static final long DEFAULT_WATCH_MILLIS = 10_000;

  private record Value(long revision, String text) {}

  private final FakeServer server;
  private final Map<String, Value> values = new ConcurrentHashMap<>();
  private final Map<String, List<Runnable>> watchers = new ConcurrentHashMap<>();
  private final List<VmEntry> vms = new CopyOnWriteArrayList<>();
  private final AtomicLong lastRevision = new AtomicLong();
  private final AtomicLong calls = new AtomicLong();
  private final AtomicLong configCalls = new AtomicLong();
  private final Map<String, Value> previousValues = new ConcurrentHashMap<>();
  private volatile boolean down;
  private volatile boolean staleReplica;
  private volatile boolean configDown;

  /**
   * Starts the services on one address.
   *
   * @throws Exception if the server cannot be started
   */
  public FakePlatform() throws Exception {
    this(0);
  }

  /**
   * Starts the services on one address.
   *
   * @param port the port on loopback; 0 takes any free port
   * @throws Exception if the server cannot be started
   */
  public FakePlatform(int port) throws Exception {
    this.server =
        new FakeServer(
            port,
            chain ->
                chain
                    .all(this::countCall)
                    .get("v1/values/::.+", this::read)
                    .get("v1/watch/::.+", this::watch)
                    .get("v1/vms", this::listVms));
  }

  public HostAndPort address() {
    return server.address();
  }

  /**
   * Publishes a value and wakes its watchers.
   *
   * @param key the key
   * @param text the new text
   */
  public void publish(String key, String text) {
    Value previous = values.put(key, new Value(lastRevision.incrementAndGet(), text));
    if (previous != null) {
      previousValues.put(key, previous);
    }
    List<Runnable> keyWatchers = watchers.remove(key);
    if (keyWatchers != null) {
      keyWatchers.forEach(Runnable::run);
    }
  }

  /**
   * Replaces the list of VMs.
   *
   * @param entries the VMs to list from now on
   */
  public void setVms(List<VmEntry> entries) {
    vms.clear();
    vms.addAll(entries);
  }

  /**
   * Adds a VM to the list.
   *
   * @param entry the VM
   */
  public void addVm(VmEntry entry) {
    vms.add(entry);
  }

  /**
   * Changes the state of a listed VM.
   *
   * @param name the name of the VM
   * @param state the new state
   */
  public void setVmState(String name, String state) {
    vms.replaceAll(
        vm ->
            vm.name().equals(name)
                ? new VmEntry(
                    vm.name(),
                    vm.role(),
                    vm.pool(),
                    vm.address(),
                    vm.peerAddress(),
                    vm.failureDomain(),
                    state)
                : vm);
  }

  /**
   * Removes a VM from the list.
   *
   * @param name the name of the VM
   */
  public void removeVm(String name) {
    vms.removeIf(vm -> vm.name().equals(name));
  }

  /**
   * Makes every second answer carry the previous value, as a service with lagging replicas does.
   *
   * @param value true to answer every second call from the previous value
   */
  public void setStaleReplica(boolean value) {
    this.staleReplica = value;
  }

  /**
   * Makes every call fail.
   *
   * @param value true to fail
   */
  public void setDown(boolean value) {
    this.down = value;
  }

  /**
   * Makes every read and watch of a value fail; calls of the VM list still succeed.
   *
   * @param value true to fail
   */
  public void setConfigDown(boolean value) {
    this.configDown = value;
  }

  /**
   * Returns the number of calls.
   *
   * @return all calls since the start, those of the VM list included
   */
  public long callCount() {
    return calls.get();
  }

  /**
   * Returns the number of calls that asked for values.
   *
   * @return reads and watches of values, without those of the VM list
   */
  public long configCallCount() {
    return configCalls.get();
  }

  @Override
  public void close() throws Exception {
    server.close();
  }

  private void countCall(Context ctx) {
    calls.incrementAndGet();
    boolean isVmList = ctx.getRequest().getPath().equals("v1/vms");
    if (down || (configDown && !isVmList)) {
      ctx.getResponse().status(500).send();
    } else {
      ctx.next();
    }
  }

  private void listVms(Context ctx) {
    ctx.getResponse().send("application/json", Json.toText(new ArrayList<>(vms)));
  }

  private void read(Context ctx) {
    configCalls.incrementAndGet();
    sendValue(ctx, currentValue(keyOf(ctx, "v1/values/")));
  }

  private void watch(Context ctx) {
    long call = configCalls.incrementAndGet();
    String key = keyOf(ctx, "v1/watch/");
    if (staleReplica && call % 2 == 0 && previousValues.containsKey(key)) {
      sendValue(ctx, previousValues.get(key));
      return;
    }
    var query = ctx.getRequest().getQueryParams();
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long timeoutMillis =
        Long.parseLong(query.getOrDefault("timeoutMillis", Long.toString(DEFAULT_WATCH_MILLIS)));
    Value value = values.get(key);
    if (value != null && value.revision() > after) {
      sendValue(ctx, value);
      return;
    }
    Promise.<Boolean>async(downstream -> awaitChange(ctx, key, after, timeoutMillis, downstream))
        .then(changed -> answerWatch(ctx, key, after));
  }

  private void awaitChange(
      Context ctx,
      String key,
      long after,
      long timeoutMillis,
      Downstream<? super Boolean> downstream) {
    AtomicBoolean completed = new AtomicBoolean();
    Runnable watcher =
        () -> {
          if (completed.compareAndSet(false, true)) {
            downstream.success(true);
          }
        };
    List<Runnable> keyWatchers = watchers.computeIfAbsent(key, k -> new CopyOnWriteArrayList<>());
    keyWatchers.add(watcher);
    ctx.onClose(outcome -> keyWatchers.remove(watcher));
    Value value = values.get(key);
    if (value != null && value.revision() > after) {
      // Without this check a value published before the watcher was added would be missed.
      watcher.run();
    }
    ScheduledFuture<?> timer =
        ctx.getExecution()
            .getController()
            .getExecutor()
            .schedule(watcher, timeoutMillis, TimeUnit.MILLISECONDS);
    ctx.onClose(outcome -> timer.cancel(false));
  }

  private void answerWatch(Context ctx, String key, long after) {
    Value value = values.get(key);
    if (down || configDown) {
      ctx.getResponse().status(500).send();
    } else if (value != null && value.revision() > after) {
      sendValue(ctx, value);
    } else {
      ctx.getResponse().status(204).send();
    }
  }

  private Value currentValue(String key) {
    Value previous = previousValues.get(key);
    return staleReplica && previous != null && configCalls.get() % 2 == 0
        ? previous
        : values.get(key);
  }

  private static String keyOf(Context ctx, String prefix) {
    return ctx.getRequest().getPath().substring(prefix.length());
  }

  private static void sendValue(Context ctx, Value value) {
    if (value == null) {
      ctx.getResponse().status(404).send();
      return;
    }
    ctx.getResponse().getHeaders().set(ApiHeaders.REVISION, Long.toString(value.revision()));
    ctx.getResponse().send("text/plain;charset=UTF-8", value.text());
  }
}
