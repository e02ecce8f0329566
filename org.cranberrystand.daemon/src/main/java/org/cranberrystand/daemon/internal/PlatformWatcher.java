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
 * Reads the VM list and, in the part assigned to the node, the configuration service.
 *
 * <p>Watchers hold a watch on the head of the bundle; all nodes read it at a slow, varied interval.
 * Safe for use by several threads.
 */
public final class PlatformWatcher implements AutoCloseable {
  private static final String HEAD_KEY = "bundle/head";
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH = Duration.ofSeconds(10);
  private static final Duration ROLE_CHECK = Duration.ofSeconds(1);
  private static final Duration AFTER_FAILURE = Duration.ofSeconds(1);

  /** At 460 nodes this gives 10 reads/s; a group of nodes that is cut off learns within it. */
  private static final Duration SLOW_POLL = Duration.ofSeconds(45);

  private static final Duration MIN_VM_POLL = Duration.ofSeconds(1);
  private static final Duration MAX_VM_POLL = Duration.ofMinutes(2);

  /**
   * Part of the budget of 13 KB/s that reading the VM list may use. The list of the largest fleet
   * has about 0.5 MB, so each node reads it every 2 minutes there and learns the rest from peers.
   */
  private static final int VM_BYTES_PER_SECOND = 3_072;

  /**
   * What the service published when it last answered.
   *
   * @param version the version, or 0
   * @param digest the digest, or an empty string
   */
  record Published(long version, String digest) {}

  private final NodeState state;
  private final EventLog log;
  private final Retry retry;
  private final HttpClient client;
  private final BooleanSupplier watches;
  private final Function<SignedBundle, Promise<Long>> onBundle;
  private final AtomicLong revision = new AtomicLong();
  private final AtomicReference<Published> published = new AtomicReference<>(new Published(0, ""));
  private final AtomicBoolean configFailing = new AtomicBoolean();
  private final AtomicBoolean listFailing = new AtomicBoolean();
  private volatile boolean answering;

  /**
   * Creates a watcher.
   *
   * @param state the state to update with the VM list
   * @param retry runs the calls
   * @param log receives failures
   * @param watches whether the node is to hold a watch now
   * @param onBundle receives each published bundle before verification and returns its version, or
   *     0 when it is not valid
   * @throws Exception if the client cannot be created
   */
  PlatformWatcher(
      NodeState state,
      Retry retry,
      EventLog log,
      BooleanSupplier watches,
      Function<SignedBundle, Promise<Long>> onBundle)
      throws Exception {
    this.state = state;
    this.retry = retry;
    this.log = log;
    this.watches = watches;
    this.onBundle = onBundle;
    this.client =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver()
                    .maxContentLength(8 << 20)
                    .connectTimeout(Duration.ofSeconds(1))
                    .readTimeout(CLIENT_TIMEOUT));
  }

  /** Starts to read and watch; the first reading is done by the starting node. */
  void start() {
    retry.loop(
        "vm-list", MIN_VM_POLL, () -> readVms().mapError(cause -> failed(listFailing, cause)));
    retry.loop("watch", ROLE_CHECK, this::watchIfAssigned);
    retry.loop(
        "poll",
        SLOW_POLL,
        () -> readHead().map(any -> SLOW_POLL).mapError(cause -> failed(configFailing, cause)));
  }

  Published published() {
    return published.get();
  }

  boolean isAnswering() {
    return answering;
  }

  @Override
  public void close() {
    client.close();
  }

  /** Reads the VM list and returns the pause until it may be read again. */
  Promise<Duration> readVms() {
    HostAndPort service = state.settings().vmList();
    return client
        .request(
            URI.create("http://" + service + "/v1/vms"), spec -> spec.readTimeout(READ_TIMEOUT))
        .map(PlatformWatcher::requireOk)
        .map(response -> applyVms(response.getBody().getBytes()));
  }

  /** Reads the head of the bundle without waiting for a change. */
  Promise<Boolean> readHead() {
    return head("/v1/values/" + HEAD_KEY, READ_TIMEOUT);
  }

  /** Reads a part of a bundle. */
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
    if (!watches.getAsBoolean()) {
      return Promise.value(ROLE_CHECK);
    }
    String query = "?after=" + revision.get() + "&timeoutMillis=" + WATCH.toMillis();
    return head("/v1/watch/" + HEAD_KEY + query, CLIENT_TIMEOUT)
        .map(any -> Duration.ZERO)
        .mapError(cause -> failed(configFailing, cause));
  }

  /** Logs the first of several failures in a row. */
  private Duration failed(AtomicBoolean failing, Throwable cause) {
    if (!retry.isClosed() && failing.compareAndSet(false, true)) {
      log.write(LogEvent.CONFIG_UNAVAILABLE, "cause=" + cause);
    }
    return AFTER_FAILURE;
  }

  private Promise<Boolean> head(String path, Duration timeout) {
    HostAndPort service = state.settings().configService();
    return client
        .request(URI.create("http://" + service + path), spec -> spec.readTimeout(timeout))
        .flatMap(this::applyHead)
        .wiretap(
            result -> {
              answering = result.isSuccess();
              if (answering) {
                configFailing.set(false);
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
              published.set(new Published(version, digestOf(signed)));
              return true;
            });
  }

  private static String digestOf(SignedBundle signed) {
    return BundleParser.digestOf(signed.bundle());
  }

  private Duration applyVms(byte[] body) throws IOException {
    state.controlCost().countPlatformCall(body.length);
    listFailing.set(false);
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
    long pauseMillis = body.length * 1_000L / VM_BYTES_PER_SECOND;
    return Duration.ofMillis(
        Math.max(MIN_VM_POLL.toMillis(), Math.min(pauseMillis, MAX_VM_POLL.toMillis())));
  }

  private static UpstreamRecord toUpstream(VmEntry vm) {
    return new UpstreamRecord(
        vm.name(), vm.pool(), vm.address(), vm.failureDomain(), vm.isLeaving());
  }

  private static ReceivedResponse requireOk(ReceivedResponse response) throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("status " + response.getStatusCode());
    }
    return response;
  }
}
