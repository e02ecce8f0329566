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
 * Fetches newer bundles from the peers that announce them, and decides whether this node watches
 * the configuration service.
 *
 * <p>Safe for use by several threads.
 */
final class BundleDistribution {
  /** Two, so that bundles still arrive without delay if one watcher fails. */
  static final int WATCHERS_PER_DOMAIN = 2;

  private static final String PART_PATH = "peer/v1/bundle/part/";
  private static final String WATCH_KEY = "bundle-watch";
  private static final long DISTRUST_DURATION_NANOS = 60_000_000_000L;
  private static final int MAX_SOURCES_PER_BUNDLE = 8;

  /** Version and digest of the bundle that is in force on a peer. */
  record Head(long version, String digest) {}

  private final NodeState state;
  private final PeerClient client;
  private final BundleIntake intake;
  private final EventLog log;
  private final TaskRunner tasks;
  private final SerialExecutor serial;
  private final Map<String, Long> distrustedUntilNanos = new HashMap<>();
  private final Map<Head, EvictingQueue<String>> sourcesByHead = new HashMap<>();
  private Head fetchInProgress;

  BundleDistribution(
      NodeState state, PeerClient client, BundleIntake intake, EventLog log, TaskRunner tasks) {
    this.state = state;
    this.client = client;
    this.intake = intake;
    this.log = log;
    this.tasks = tasks;
    this.serial = new SerialExecutor(t -> log.write(LogEvent.TASK_FAILED, "task=bundle", t));
  }

  /** Returns whether this node is one of the watchers in its failure domain. */
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
   * Compares the bundle in force on a peer with the own one: fetches a newer one and reports a
   * different one of the same version as a conflict.
   *
   * @param address the address of the peer
   * @param head the bundle that the peer announced
   */
  void handleAnnouncement(String address, Head head) {
    Optional<Bundle> current = state.bundles().current();
    long version = current.map(Bundle::version).orElse(0L);
    if (head.version() == version && version > 0) {
      if (!current.orElseThrow().digest().equals(head.digest())) {
        intake.reportConflict(address, head.version(), head.digest());
      }
      return;
    }
    if (head.version() > version) {
      serial.execute(() -> addSource(address, head));
    }
  }

  /**
   * Fetches a bundle from a peer and offers it to the intake.
   *
   * @param address the address of the peer
   * @param digest the digest of the bundle
   * @return the result of the offer
   */
  Promise<BundleIntake.Result> fetch(String address, String digest) {
    return client
        .call(address, "GET", PART_PATH + digest, new byte[0])
        .flatMap(response -> handleFetchResponse(address, digest, response));
  }

  /**
   * Fetches the missing parts of a bundle and offers the bundle to the intake.
   *
   * @param source the origin of the bundle, for log and audit entries
   * @param signed the bundle
   * @param partByDigest fetches the part with a given digest
   * @return the result of the offer; an error if a part cannot be fetched
   */
  Promise<BundleIntake.Result> fetchPartsAndOffer(
      String source, SignedBundle signed, Function<String, Promise<String>> partByDigest) {
    if (!intake.isTrusted(signed)) {
      return Promise.value(intake.offer(source, signed));
    }
    return fetchParts(intake.missingParts(signed), 0, partByDigest)
        .map(complete -> complete ? intake.offer(source, signed) : BundleIntake.Result.INVALID);
  }

  /** Fetches a bundle part from a peer. */
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

  /** Returns whether the peer served an invalid bundle within the distrust period. */
  Promise<Boolean> isDistrusted(String address) {
    return Promise.async(
        downstream -> serial.execute(() -> downstream.success(isDistrustedNow(address))));
  }

  private void addSource(String address, Head head) {
    if (isDistrustedNow(address) || head.version() <= versionInForce()) {
      return;
    }
    EvictingQueue<String> knownSources =
        sourcesByHead.computeIfAbsent(head, h -> EvictingQueue.create(MAX_SOURCES_PER_BUNDLE));
    if (!knownSources.contains(address)) {
      knownSources.add(address);
    }
    fetchNext();
  }

  /** Fetches the highest announced version, unless a fetch is in progress. */
  private void fetchNext() {
    if (fetchInProgress != null) {
      return;
    }
    sourcesByHead.keySet().removeIf(head -> head.version() <= versionInForce());
    sourcesByHead.values().forEach(addresses -> addresses.removeIf(this::isDistrustedNow));
    sourcesByHead.values().removeIf(EvictingQueue::isEmpty);
    Optional<Head> next =
        sourcesByHead.keySet().stream().max(java.util.Comparator.comparingLong(Head::version));
    if (next.isEmpty()) {
      return;
    }
    fetchInProgress = next.get();
    String address = sourcesByHead.get(fetchInProgress).remove();
    String digest = fetchInProgress.digest();
    tasks.run(
        "fetch",
        () ->
            fetch(address, digest)
                .map(result -> true)
                .mapError(cause -> false)
                .map(done -> onFetchFinished()));
  }

  private boolean onFetchFinished() {
    serial.execute(
        () -> {
          fetchInProgress = null;
          fetchNext();
        });
    return true;
  }

  private Promise<BundleIntake.Result> handleFetchResponse(
      String address, String digest, ReceivedResponse response) throws IOException {
    requireOk(address, response);
    return verifyAndOffer(address, digest, response.getBody().getBytes())
        .map(
            result -> {
              if (result == BundleIntake.Result.INVALID) {
                serial.execute(() -> distrust(address));
              }
              return result;
            });
  }

  private Promise<BundleIntake.Result> verifyAndOffer(String address, String digest, byte[] body) {
    SignedBundle signed;
    try {
      signed = Json.read(body, SignedBundle.class);
    } catch (IOException e) {
      log.write(LogEvent.BUNDLE_REFUSED, "source=" + address + " cause=" + e.getMessage());
      return Promise.value(BundleIntake.Result.INVALID);
    }
    if (!BundleParser.digestOf(signed.bundle()).equals(digest)) {
      log.write(LogEvent.BUNDLE_REFUSED, "source=" + address + " cause=digest mismatch");
      return Promise.value(BundleIntake.Result.INVALID);
    }
    return fetchPartsAndOffer(address, signed, part -> fetchPart(address, part));
  }

  private static void requireOk(String address, ReceivedResponse response) throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException(
          "unexpected HTTP status " + response.getStatusCode() + " from " + address);
    }
  }

  private long versionInForce() {
    return state.bundles().current().map(Bundle::version).orElse(0L);
  }

  private boolean isDistrustedNow(String address) {
    Long until = distrustedUntilNanos.get(address);
    return until != null && until - state.clock().nowNanos() > 0;
  }

  private void distrust(String address) {
    long now = state.clock().nowNanos();
    distrustedUntilNanos.values().removeIf(until -> until - now <= 0);
    distrustedUntilNanos.put(address, now + DISTRUST_DURATION_NANOS);
  }

  /**
   * Returns the addresses of peers to contact at the start: random listed nodes, from as many
   * failure domains as possible, and configured seeds.
   */
  static ImmutableList<String> selectStartPeers(NodeState state, int count) {
    Map<String, String> addressByDomain = new HashMap<>();
    List<String> otherAddresses = new ArrayList<>();
    List<org.cranberrystand.wire.platform.VmEntry> vms = new ArrayList<>(state.entryVms().get());
    java.util.Collections.shuffle(vms);
    vms.removeIf(vm -> vm.name().equals(state.settings().node()) || vm.peerAddress().isEmpty());
    for (var vm : vms) {
      if (addressByDomain.putIfAbsent(vm.failureDomain(), vm.peerAddress()) != null) {
        otherAddresses.add(vm.peerAddress());
      }
    }
    List<String> all = new ArrayList<>(addressByDomain.values());
    all.addAll(otherAddresses);
    List<String> selected = new ArrayList<>(all.subList(0, Math.min(count, all.size())));
    state.settings().seeds().stream().map(Object::toString).limit(count).forEach(selected::add);
    return selected.stream().distinct().collect(ImmutableList.toImmutableList());
  }
}
