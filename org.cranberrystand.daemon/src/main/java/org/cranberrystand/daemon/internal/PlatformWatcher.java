package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.platform.VmEntry;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Reads the VM list and watches the configuration service.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformWatcher implements AutoCloseable {
  private static final String HEAD_KEY = "bundle/head";
  private static final Duration VM_POLL = Duration.ofMillis(500);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(15);
  private static final long WATCH_MILLIS = 10_000;

  private final NodeState state;
  private final EventLog log;
  private final HttpClient client;
  private final ExecController exec;
  private final Consumer<SignedBundle> onBundle;
  private final Consumer<UpstreamDirectory> onDirectory;
  private final AtomicLong revision = new AtomicLong();
  private volatile boolean closed;

  /**
   * Creates a watcher.
   *
   * @param state the state to update with the VM list
   * @param exec runs the calls
   * @param log receives failures
   * @param onBundle receives each published bundle, before verification
   * @param onDirectory receives each change of the upstreams
   * @throws Exception if the client cannot be created
   */
  public PlatformWatcher(
      NodeState state,
      ExecController exec,
      EventLog log,
      Consumer<SignedBundle> onBundle,
      Consumer<UpstreamDirectory> onDirectory)
      throws Exception {
    this.state = state;
    this.exec = exec;
    this.log = log;
    this.onBundle = onBundle;
    this.onDirectory = onDirectory;
    this.client = HttpClient.of(spec -> spec.useJdkAddressResolver().readTimeout(CLIENT_TIMEOUT));
  }

  /** Starts to read and watch. */
  public void start() {
    repeat(VM_POLL, this::readVms);
    repeat(Duration.ZERO, this::watchHead);
  }

  @Override
  public void close() {
    closed = true;
    client.close();
  }

  private interface Call {
    Promise<?> run();
  }

  private void repeat(Duration pause, Call call) {
    if (closed) {
      return;
    }
    exec.fork()
        .start(
            execution ->
                call.run()
                    .map(ignored -> pause)
                    .mapError(
                        cause -> {
                          log.write(LogEvent.CONFIG_UNAVAILABLE, "cause=" + cause);
                          return RETRY_DELAY;
                        })
                    .then(
                        delay -> Promise.value(delay).defer(delay).then(d -> repeat(pause, call))));
  }

  private Promise<?> readVms() {
    HostAndPort service = state.settings().vmList();
    return client
        .get(URI.create("http://" + service + "/v1/vms"))
        .map(PlatformWatcher::requireOk)
        .map(response -> Json.read(response.getBody().getBytes(), VmEntry[].class))
        .map(this::applyVms);
  }

  private UpstreamDirectory applyVms(VmEntry[] vms) {
    state
        .entryVms()
        .set(
            Arrays.stream(vms)
                .filter(vm -> vm.role().equals(VmEntry.ROLE_ENTRY))
                .collect(ImmutableList.toImmutableList()));
    UpstreamDirectory directory =
        UpstreamDirectory.of(
            Arrays.stream(vms)
                .filter(vm -> vm.role().equals(VmEntry.ROLE_UPSTREAM))
                .map(PlatformWatcher::toUpstream)
                .toList());
    UpstreamDirectory previous = state.directory().getAndSet(directory);
    if (!previous.all().equals(directory.all())) {
      onDirectory.accept(directory);
    }
    return directory;
  }

  private static UpstreamRecord toUpstream(VmEntry vm) {
    return new UpstreamRecord(
        vm.name(), vm.pool(), vm.address(), vm.failureDomain(), vm.isLeaving());
  }

  private Promise<?> watchHead() {
    HostAndPort service = state.settings().configService();
    String query = "?after=" + revision.get() + "&timeoutMillis=" + WATCH_MILLIS;
    return client
        .get(URI.create("http://" + service + "/v1/watch/" + HEAD_KEY + query))
        .map(response -> applyHead(response));
  }

  private boolean applyHead(ReceivedResponse response) throws IOException {
    if (response.getStatusCode() == 204) {
      return false;
    }
    requireOk(response);
    SignedBundle signed = Json.read(response.getBody().getBytes(), SignedBundle.class);
    revision.set(Long.parseLong(response.getHeaders().get(ApiHeaders.REVISION)));
    onBundle.accept(signed);
    return true;
  }

  private static ReceivedResponse requireOk(ReceivedResponse response) throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("status " + response.getStatusCode());
    }
    return response;
  }
}
