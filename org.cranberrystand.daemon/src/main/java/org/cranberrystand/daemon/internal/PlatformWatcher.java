package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.platform.VmEntry;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Polls the VM list and follows the published bundle in the configuration service.
 *
 * <p>Nodes that are assigned as watchers hold a long poll on the bundle head; all nodes also read
 * the head at a long, jittered interval. Safe for use by several threads.
 */
public final class PlatformWatcher implements AutoCloseable {
  private static final String HEAD_KEY = "bundle/head";
  private static final Duration WATCH_READ_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_DURATION = Duration.ofSeconds(10);
  private static final Duration ROLE_CHECK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /**
   * Gives 10 reads/s at 460 nodes, and bounds the time after which a group of nodes that is
   * partitioned from the watchers gets a new bundle.
   */
  private static final Duration HEAD_POLL_INTERVAL = Duration.ofSeconds(45);

  private static final Duration MIN_VM_LIST_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_VM_LIST_INTERVAL = Duration.ofMinutes(2);

  /**
   * Share of the control traffic budget of 13 KB/s for reading the VM list. The list of the largest
   * fleet has about 0.5 MB, so a node reads it every 2 minutes there and gets changes in between
   * from its peers.
   */
  private static final int MAX_VM_LIST_BYTES_PER_SECOND = 3_072;

  /**
   * The bundle in the last response of the configuration service.
   *
   * @param version the version, or 0 if none
   * @param digest the digest, or an empty string if none
   */
  record PublishedBundle(long version, String digest) {}

  private final NodeState state;
  private final EventLog log;
  private final TaskRunner tasks;
  private final HttpClient client;
  private final BooleanSupplier isWatcher;
  private final Function<SignedBundle, Promise<Long>> onBundle;
  private final AtomicLong revision = new AtomicLong();
  private final AtomicReference<PublishedBundle> published =
      new AtomicReference<>(new PublishedBundle(0, ""));
  private final AtomicBoolean configFailureLogged = new AtomicBoolean();
  private final AtomicBoolean vmListFailureLogged = new AtomicBoolean();
  private volatile boolean serviceAvailable;

  /**
   * Creates a watcher.
   *
   * @param state the state to update with the VM list
   * @param tasks runs the periodic calls
   * @param log receives failures
   * @param isWatcher whether the node is currently assigned as a watcher
   * @param onBundle receives each published bundle before its verification and returns its version,
   *     or 0 if it is invalid
   * @throws Exception if the client cannot be created
   */
  PlatformWatcher(
      NodeState state,
      TaskRunner tasks,
      EventLog log,
      BooleanSupplier isWatcher,
      Function<SignedBundle, Promise<Long>> onBundle)
      throws Exception {
    this.state = state;
    this.tasks = tasks;
    this.log = log;
    this.isWatcher = isWatcher;
    this.onBundle = onBundle;
    this.client =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .maxContentLength(8 << 20)
                    .connectTimeout(Duration.ofSeconds(1))
                    .readTimeout(WATCH_READ_TIMEOUT));
  }

  /** Starts to poll and watch. The node reads the VM list and the bundle once before this. */
  void start() {
    tasks.runPeriodically(
        "vm-list",
        MIN_VM_LIST_INTERVAL,
        () -> readVmList().mapError(cause -> handleFailure(vmListFailureLogged, cause)));
    tasks.runPeriodically("watch", ROLE_CHECK_INTERVAL, this::watchIfAssigned);
    tasks.runPeriodically(
        "poll",
        HEAD_POLL_INTERVAL,
        () ->
            readHead()
                .map(ignored -> HEAD_POLL_INTERVAL)
                .mapError(cause -> handleFailure(configFailureLogged, cause)));
  }

  /** Returns the bundle that the configuration service published last. */
  PublishedBundle published() {
    return published.get();
  }

  /** Returns whether the last call to the configuration service succeeded. */
  boolean isServiceAvailable() {
    return serviceAvailable;
  }

  @Override
  public void close() {
    client.close();
  }

  /** Reads the VM list and returns the delay until the next read. */
  Promise<Duration> readVmList() {
    HostAndPort service = state.settings().vmList();
    return client
        .request(
            URI.create("http://" + service + "/v1/vms"), spec -> spec.readTimeout(READ_TIMEOUT))
        .map(PlatformWatcher::requireOk)
        .map(response -> applyVmList(response.getBody().getBytes()));
  }

  /** Reads the bundle head once, without waiting for a change. */
  Promise<Boolean> readHead() {
    return requestHead("/v1/values/" + HEAD_KEY, READ_TIMEOUT);
  }

  /** Reads the bundle part with a given digest. */
  Promise<String> readPart(String digest) {
    HostAndPort service = state.settings().configService();
    return client
        .request(
            URI.create("http://" + service + "/v1/values/bundle/part/" + digest),
            spec -> spec.readTimeout(READ_TIMEOUT))
        .map(PlatformWatcher::requireOk)
        .map(
            response -> {
              state.controlCost().countPlatformCall(response.getBody().getBytes().length);
              return response.getBody().getText(StandardCharsets.UTF_8);
            });
  }

  private Promise<Duration> watchIfAssigned() {
    if (!isWatcher.getAsBoolean()) {
      return Promise.value(ROLE_CHECK_INTERVAL);
    }
    String query = "?after=" + revision.get() + "&timeoutMillis=" + WATCH_DURATION.toMillis();
    return requestHead("/v1/watch/" + HEAD_KEY + query, WATCH_READ_TIMEOUT)
        .map(ignored -> Duration.ZERO)
        .mapError(cause -> handleFailure(configFailureLogged, cause));
  }

  /** Logs the first of consecutive failures and returns the delay until the next attempt. */
  private Duration handleFailure(AtomicBoolean failureLogged, Throwable cause) {
    if (!tasks.isClosed() && failureLogged.compareAndSet(false, true)) {
      log.write(LogEvent.CONFIG_UNAVAILABLE, "cause=" + cause);
    }
    return RETRY_DELAY;
  }

  private Promise<Boolean> requestHead(String path, Duration timeout) {
    HostAndPort service = state.settings().configService();
    return client
        .request(URI.create("http://" + service + path), spec -> spec.readTimeout(timeout))
        .flatMap(this::applyHead)
        .wiretap(
            result -> {
              serviceAvailable = result.isSuccess();
              if (serviceAvailable) {
                configFailureLogged.set(false);
              }
            });
  }

  private Promise<Boolean> applyHead(ReceivedResponse response) throws IOException {
    byte[] body = response.getBody().getBytes();
    state.controlCost().countPlatformCall(body.length);
    if (response.getStatusCode() == 204 || response.getStatusCode() == 404) {
      return Promise.value(false);
    }
    requireOk(response);
    SignedBundle signed = Json.read(body, SignedBundle.class);
    revision.set(Long.parseLong(response.getHeaders().get(ApiHeaders.REVISION)));
    return onBundle
        .apply(signed)
        .map(
            version -> {
              published.set(new PublishedBundle(version, digestOf(signed)));
              return true;
            });
  }

  private static String digestOf(SignedBundle signed) {
    return BundleParser.digestOf(signed.bundle());
  }

  private Duration applyVmList(byte[] body) throws IOException {
    state.controlCost().countPlatformCall(body.length);
    vmListFailureLogged.set(false);
    VmEntry[] vms = Json.read(body, VmEntry[].class);
    state
        .entryVms()
        .set(
            Arrays.stream(vms)
                .filter(vm -> vm.role().equals(VmEntry.ROLE_ENTRY))
                .collect(ImmutableList.toImmutableList()));
    state
        .leaveSignals()
        .applyVmList(
            UpstreamDirectory.of(
                Arrays.stream(vms)
                    .filter(vm -> vm.role().equals(VmEntry.ROLE_UPSTREAM))
                    .map(PlatformWatcher::toUpstream)
                    .toList()));
    long delayMillis = body.length * 1_000L / MAX_VM_LIST_BYTES_PER_SECOND;
    return Duration.ofMillis(
        Math.max(
            MIN_VM_LIST_INTERVAL.toMillis(),
            Math.min(delayMillis, MAX_VM_LIST_INTERVAL.toMillis())));
  }

  private static UpstreamRecord toUpstream(VmEntry vm) {
    return new UpstreamRecord(
        vm.name(), vm.pool(), vm.address(), vm.failureDomain(), vm.isLeaving());
  }

  private static ReceivedResponse requireOk(ReceivedResponse response) throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("unexpected HTTP status " + response.getStatusCode());
    }
    return response;
  }
}
