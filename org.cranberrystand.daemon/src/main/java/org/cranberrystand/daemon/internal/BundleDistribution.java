package org.cranberrystand.daemon.internal;

import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MemberState;
import org.cranberrystand.membership.MembershipView;
import org.cranberrystand.placement.RendezvousHash;
import org.cranberrystand.util.SerialExecutor;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.SignedBundle;
import ratpack.exec.Promise;
import ratpack.http.client.ReceivedResponse;

/**
 * Fetches newer bundles from the nodes that announce them and decides which nodes watch the
 * configuration service.
 *
 * <p>Safe for use by several threads.
 */
final class BundleDistribution {
  /** Two watchers per failure domain, so that losing one of them delays nothing. */
  static final int WATCHERS_PER_DOMAIN = 2;

  private static final String PART_PATH = "peer/v1/bundle/part/";
  private static final String WATCH_KEY = "bundle-watch";
  private static final long DISTRUST_NANOS = 60_000_000_000L;
  private static final int MAX_SOURCES = 8;

  /** A bundle that a peer announced. */
  record Head(long version, String digest) {}

  private final NodeState state;
  private final PeerClient client;
  private final BundleIntake intake;
  private final EventLog log;
  private final TaskRunner retry;
  private final SerialExecutor serial;
  private final Map<String, Long> distrustedUntilNanos = new HashMap<>();
  private final Map<Head, EvictingQueue<String>> sources = new HashMap<>();
  private Head fetching;

  BundleDistribution(
      NodeState state, PeerClient client, BundleIntake intake, EventLog log, TaskRunner retry) {
    this.state = state;
    this.client = client;
    this.intake = intake;
    this.log = log;
    this.retry = retry;
    this.serial = new SerialExecutor(t -> log.write(LogEvent.TASK_FAILED, "task=bundle", t));
  }

  /** Tells whether this node is one of the watchers of its failure domain. */
  boolean isWatcher(MembershipView view) {
    String domain = state.settings().failureDomain();
    String self = state.settings().node();
    List<String> candidates = new ArrayList<>(List.of(self));
    for (MemberRecord member : view.all()) {
      if (member.failureDomain().equals(domain) && member.state() == MemberState.ALIVE) {
        candidates.add(member.node());
      }
    }
    return RendezvousHash.top(WATCH_KEY, candidates, WATCHERS_PER_DOMAIN).contains(self);
  }

  /**
   * Takes note of the bundle in force on a peer and fetches it if it is newer.
   *
   * @param address the peer
   * @param head what it announced
   */
  void announced(String address, Head head) {
    Optional<Bundle> current = state.bundles().current();
    long version = current.map(Bundle::version).orElse(0L);
    if (head.version() == version && version > 0) {
      if (!current.orElseThrow().digest().equals(head.digest())) {
        intake.reportConflict(address, head.version(), head.digest());
      }
      return;
    }
    if (head.version() > version) {
      serial.execute(() -> enqueue(address, head));
    }
  }

  /**
   * Fetches a bundle from a peer and offers it.
   *
   * @param address the peer
   * @param digest the digest of the content
   * @return what became of it
   */
  Promise<BundleIntake.Result> fetch(String address, String digest) {
    return client
        .call(address, "GET", PART_PATH + digest, new byte[0])
        .flatMap(response -> accept(address, digest, response));
  }

  /**
   * Offers a bundle after fetching those of its parts that are not held.
   *
   * @param source where the bundle came from
   * @param signed the bundle
   * @param partByDigest fetches a part
   * @return what became of the bundle; an error when a part cannot be fetched
   */
  Promise<BundleIntake.Result> obtain(
      String source, SignedBundle signed, Function<String, Promise<String>> partByDigest) {
    if (!intake.isTrusted(signed)) {
      return Promise.value(intake.offer(source, signed));
    }
    return fetchParts(intake.missingParts(signed), 0, partByDigest)
        .map(complete -> complete ? intake.offer(source, signed) : BundleIntake.Result.INVALID);
  }

  /** Fetches a part from a peer. */
  Promise<String> fetchPart(String address, String digest) {
    return client
        .call(address, "GET", PART_PATH + digest, new byte[0])
        .map(
            response -> {
              requireOk(address, response);
              return response.getBody().getText(StandardCharsets.UTF_8);
            });
  }

  private Promise<Boolean> fetchParts(
      List<String> digests, int index, Function<String, Promise<String>> partByDigest) {
    if (index == digests.size()) {
      return Promise.value(true);
    }
    String digest = digests.get(index);
    return partByDigest
        .apply(digest)
        .flatMap(
            text ->
                intake.addPart(digest, text)
                    ? fetchParts(digests, index + 1, partByDigest)
                    : Promise.value(false));
  }

  /** Returns whether content from a peer was refused lately. */
  Promise<Boolean> isDistrusted(String address) {
    return Promise.async(down -> serial.execute(() -> down.success(distrusts(address))));
  }

  private void enqueue(String address, Head head) {
    if (distrusts(address) || head.version() <= versionInForce()) {
      return;
    }
    EvictingQueue<String> known =
        sources.computeIfAbsent(head, h -> EvictingQueue.create(MAX_SOURCES));
    if (!known.contains(address)) {
      known.add(address);
    }
    fetchNext();
  }

  /** Starts to fetch the highest announced version, one at a time. */
  private void fetchNext() {
    if (fetching != null) {
      return;
    }
    sources.keySet().removeIf(head -> head.version() <= versionInForce());
    sources.values().forEach(addresses -> addresses.removeIf(this::distrusts));
    sources.values().removeIf(EvictingQueue::isEmpty);
    Optional<Head> next =
        sources.keySet().stream().max(java.util.Comparator.comparingLong(Head::version));
    if (next.isEmpty()) {
      return;
    }
    fetching = next.get();
    String address = sources.get(fetching).remove();
    String digest = fetching.digest();
    retry.run(
        "fetch",
        () ->
            fetch(address, digest)
                .map(result -> true)
                .mapError(cause -> false)
                .map(done -> finished()));
  }

  private boolean finished() {
    serial.execute(
        () -> {
          fetching = null;
          fetchNext();
        });
    return true;
  }

  private Promise<BundleIntake.Result> accept(
      String address, String digest, ReceivedResponse response) throws IOException {
    requireOk(address, response);
    return offer(address, digest, response.getBody().getBytes())
        .map(
            result -> {
              if (result == BundleIntake.Result.INVALID) {
                serial.execute(() -> distrust(address));
              }
              return result;
            });
  }

  private Promise<BundleIntake.Result> offer(String address, String digest, byte[] body) {
    SignedBundle signed;
    try {
      signed = Json.read(body, SignedBundle.class);
    } catch (IOException e) {
      log.write(LogEvent.BUNDLE_REFUSED, "source=" + address + " cause=" + e.getMessage());
      return Promise.value(BundleIntake.Result.INVALID);
    }
    if (!BundleParser.digestOf(signed.bundle()).equals(digest)) {
      log.write(LogEvent.BUNDLE_REFUSED, "source=" + address + " cause=wrong digest");
      return Promise.value(BundleIntake.Result.INVALID);
    }
    return obtain(address, signed, part -> fetchPart(address, part));
  }

  private static void requireOk(String address, ReceivedResponse response) throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("status " + response.getStatusCode() + " from " + address);
    }
  }

  private long versionInForce() {
    return state.bundles().current().map(Bundle::version).orElse(0L);
  }

  private boolean distrusts(String address) {
    Long until = distrustedUntilNanos.get(address);
    return until != null && until - state.clock().nowNanos() > 0;
  }

  private void distrust(String address) {
    long now = state.clock().nowNanos();
    distrustedUntilNanos.values().removeIf(until -> until - now <= 0);
    distrustedUntilNanos.put(address, now + DISTRUST_NANOS);
  }

  /** Returns addresses of peers to ask at the start, from as many failure domains as possible. */
  static ImmutableList<String> startSources(NodeState state, int count) {
    Map<String, String> byDomain = new HashMap<>();
    List<String> others = new ArrayList<>();
    List<org.cranberrystand.wire.platform.VmEntry> vms = new ArrayList<>(state.entryVms().get());
    java.util.Collections.shuffle(vms);
    vms.removeIf(vm -> vm.name().equals(state.settings().node()) || vm.peerAddress().isEmpty());
    for (var vm : vms) {
      if (byDomain.putIfAbsent(vm.failureDomain(), vm.peerAddress()) != null) {
        others.add(vm.peerAddress());
      }
    }
    List<String> all = new ArrayList<>(byDomain.values());
    all.addAll(others);
    List<String> chosen = new ArrayList<>(all.subList(0, Math.min(count, all.size())));
    state.settings().seeds().stream().map(Object::toString).limit(count).forEach(chosen::add);
    return chosen.stream().distinct().collect(ImmutableList.toImmutableList());
  }
}
