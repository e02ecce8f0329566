package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.RateLimiter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.LoadSummary;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MemberState;
import org.cranberrystand.membership.MembershipTable;
import org.cranberrystand.membership.ProbeOrder;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.upstream.DrainTracker;
import org.cranberrystand.util.SerialExecutor;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.platform.VmEntry;
import ratpack.exec.Promise;
import ratpack.http.client.ReceivedResponse;

/**
 * Maintains the node's view of the fleet by exchanging digests with other nodes and probing them.
 *
 * <p>The membership table is confined to a serial executor; the view is published as an immutable
 * snapshot. Safe for use by several threads.
 */
public final class MembershipService {
  private static final String DIGEST_PATH = "peer/v1/digest";
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** With 3 receivers per node, a change reaches 460 nodes in about 6 hops. */
  private static final int GOSSIP_FAN_OUT = 3;

  /** Delay before changes are sent, so that several changes share one message. */
  private static final long GOSSIP_DELAY_MILLIS = 20;

  private static final int INDIRECT_PROBE_COUNT = 2;

  private static final long SUSPECT_CONTENT_LIFETIME_NANOS = 60 * NANOS_PER_SECOND;

  /** Limits the traffic of full exchanges; a record has about 120 bytes. */
  private static final double MAX_FULL_EXCHANGE_RECORDS_PER_SECOND = 16;

  private final NodeState state;
  private final PeerClient client;
  private final BundleDistribution distribution;
  private final SchedulerLoop scheduler;
  private final TaskRunner tasks;
  private final SerialExecutor serial;
  private final MembershipTable table;
  private final ProbeOrder probeOrder;
  private final FlaggedContent quarantined;
  private final FlaggedContent suspects;
  private final DigestWriter writer;
  private final RateLimiter fullExchangeLimiter =
      RateLimiter.create(MAX_FULL_EXCHANGE_RECORDS_PER_SECOND);
  private final AtomicBoolean gossipScheduled = new AtomicBoolean();
  private int nextContactIndex;

  MembershipService(
      NodeState state,
      MemberRecord self,
      PeerClient client,
      BundleDistribution distribution,
      SchedulerLoop scheduler,
      EventLog log,
      TaskRunner tasks) {
    this.state = state;
    this.client = client;
    this.distribution = distribution;
    this.scheduler = scheduler;
    this.tasks = tasks;
    this.serial = new SerialExecutor(t -> log.write(LogEvent.TASK_FAILED, "task=members", t));
    this.table = new MembershipTable(self, state.clock(), MembershipTable.Timing.defaults());
    this.probeOrder = new ProbeOrder(new Random(state.incarnation().id()));
    this.quarantined = new FlaggedContent(state.clock());
    this.suspects = new FlaggedContent(state.clock());
    this.writer = new DigestWriter(state, table, quarantined, suspects);
  }

  /**
   * Sets the load of this node that is sent in digests.
   *
   * @param load the load of this node; its sequence number and bundle are filled in by this method
   */
  public void publishLoad(LoadSummary load) {
    serial.execute(() -> table.setSelfLoad(withCurrentBundle(load)));
  }

  /**
   * Reports content that this node found suspect or quarantined to the other nodes.
   *
   * @param quarantinedUntilNanos the end of the quarantine by content digest, on the clock of the
   *     node
   * @param suspectDigests the digests of suspect content
   */
  public void publishContent(Map<String, Long> quarantinedUntilNanos, List<String> suspectDigests) {
    serial.execute(
        () -> {
          boolean changed = false;
          for (Map.Entry<String, Long> entry : quarantinedUntilNanos.entrySet()) {
            changed |= quarantined.add(entry.getKey(), entry.getValue());
          }
          long end = state.clock().nowNanos() + SUSPECT_CONTENT_LIFETIME_NANOS;
          for (String digest : suspectDigests) {
            changed |= suspects.add(digest, end);
          }
          if (changed) {
            scheduleGossip();
          }
        });
  }

  /**
   * Returns the record of this node.
   *
   * @return the record that is sent to other nodes
   */
  Promise<MemberRecord> self() {
    return runSerially(table::self);
  }

  /** Marks this node as leaving and announces this without waiting for the next period. */
  void announceLeaving() {
    serial.execute(
        () -> {
          table.setSelfState(MemberState.LEAVING);
          scheduleGossip();
        });
  }

  /** Schedules sending the current digest to a few members, unless already scheduled. */
  void scheduleGossip() {
    if (gossipScheduled.compareAndSet(false, true)) {
      tasks.runAfter(
          GOSSIP_DELAY_MILLIS,
          () -> {
            gossipScheduled.set(false);
            serial.execute(
                () -> {
                  refreshSelfLoad();
                  for (MemberRecord peer :
                      probeOrder.sample(state.membership().get(), GOSSIP_FAN_OUT, "")) {
                    tasks.run("news", () -> gossipTo(peer));
                  }
                });
          });
    }
  }

  /** Runs one period: applies timeouts, probes one member and contacts one non-member. */
  void runPeriod() {
    serial.execute(
        () -> {
          table.tick();
          writer.dropRemovedMembers();
          quarantined.expire();
          suspects.expire();
          refreshSelfLoad();
          publishView();
          scheduler.feed(
              new SchedulerEvent.PeersChanged(
                  state.settings().node(), PeerLoadConverter.of(table), state.clock().nowNanos()));
          probeOrder.next(state.membership().get()).ifPresent(this::probe);
          nextNonMemberAddress()
              .ifPresent(address -> tasks.run("contact", () -> exchangeAllWith(address)));
        });
    state.leaveSignals().expire();
  }

  /**
   * Exchanges digests with a random sample of the members, after a pause of the process.
   *
   * @param count the size of the sample
   * @return the number of members that answered
   */
  Promise<Integer> exchangeWithSample(int count) {
    return runSerially(
            () -> {
              table.restartSuspicionTimers();
              return ImmutableList.copyOf(probeOrder.sample(table.view(), count, ""));
            })
        .flatMap(this::exchangeWithAll);
  }

  /**
   * Exchanges all records and loads with the node at an address.
   *
   * @param address the peer listener of any node
   * @return whether the node answered
   */
  Promise<Boolean> exchangeAllWith(String address) {
    return exchange(address, "", true, true).mapError(cause -> false);
  }

  /**
   * Applies a digest of another node.
   *
   * @param body the digest as JSON
   * @return the digest of this node as JSON
   */
  Promise<byte[]> handleDigest(byte[] body) {
    return runSerially(
        () -> {
          PeerDigest received = Json.read(body, PeerDigest.class);
          applyDigest(received);
          boolean includeAll = received.hash() == 0;
          byte[] reply =
              Json.toBytes(writer.write(received.from(), includeAll, !received.loads().isEmpty()));
          writer.recordSent(received.from(), table.version());
          return reply;
        });
  }

  /**
   * Probes a node on behalf of another node.
   *
   * @param node the name of the node to probe
   * @return whether the node answered
   */
  Promise<Boolean> probeOnBehalf(String node) {
    Optional<MemberRecord> target = state.membership().get().find(node);
    return target.isEmpty()
        ? Promise.value(false)
        : exchange(target.get().peerAddress(), node, false, false).mapError(cause -> false);
  }

  private Promise<Integer> exchangeWithAll(List<MemberRecord> members) {
    if (members.isEmpty()) {
      return Promise.value(0);
    }
    List<Promise<Boolean>> calls = new ArrayList<>();
    for (MemberRecord member : members) {
      calls.add(
          exchange(member.peerAddress(), member.node(), true, false).mapError(cause -> false));
    }
    return ratpack.exec.util.ParallelBatch.of(calls)
        .yield()
        .map(answers -> (int) answers.stream().filter(a -> a).count());
  }

  /** Sends changes to a member; if the message is lost, the periodic exchanges deliver them. */
  private Promise<Boolean> gossipTo(MemberRecord peer) {
    return exchange(peer.peerAddress(), peer.node(), false, false).mapError(cause -> false);
  }

  private void probe(MemberRecord target) {
    tasks.run(
        "probe",
        () ->
            exchange(target.peerAddress(), target.node(), true, false)
                .mapError(cause -> false)
                .flatMap(answered -> answered ? Promise.value(true) : probeIndirectly(target))
                .flatMap(answered -> recordProbeResult(target.node(), answered)));
  }

  private Promise<Boolean> probeIndirectly(MemberRecord target) {
    List<MemberRecord> proxies =
        probeOrder.sample(state.membership().get(), INDIRECT_PROBE_COUNT, target.node());
    if (proxies.isEmpty()) {
      return Promise.value(false);
    }
    List<Promise<Boolean>> calls = new ArrayList<>();
    for (MemberRecord proxy : proxies) {
      String path = "peer/v1/probe/" + target.node();
      calls.add(
          client
              .call(proxy.peerAddress(), "GET", path, new byte[0])
              .map(response -> response.getStatusCode() == 204)
              .mapError(cause -> false));
    }
    return ratpack.exec.util.ParallelBatch.of(calls).yield().map(a -> a.contains(true));
  }

  private Promise<Boolean> recordProbeResult(String node, boolean answered) {
    return runSerially(
        () -> {
          if (answered) {
            table.reportReachable(node);
          } else {
            table.reportUnreachable(node);
          }
          publishView();
          return answered;
        });
  }

  /**
   * Sends a digest and merges the response. If the tables still differ, exchanges all records,
   * within the rate limit of full exchanges.
   *
   * @param address the address of the peer
   * @param expectedNode the name of the node expected at the address, or an empty string
   * @param includeLoads whether to exchange loads
   * @param includeAll whether to exchange all records
   * @return whether the expected node answered
   */
  private Promise<Boolean> exchange(
      String address, String expectedNode, boolean includeLoads, boolean includeAll) {
    return runSerially(
            () -> {
              PeerDigest digest = writer.write(expectedNode, includeAll, includeLoads);
              return new SentDigest(
                  table.version(),
                  new RequestBody(
                      Json.toBytes(includeAll ? digest.requestingAllRecords() : digest)));
            })
        .flatMap(
            sent ->
                client
                    .call(address, "POST", DIGEST_PATH, sent.body().bytes())
                    .flatMap(
                        r ->
                            runSerially(
                                () -> handleResponse(r, expectedNode, sent.version(), includeAll))))
        .flatMap(
            result ->
                result == ExchangeResult.EXCHANGE_ALL
                    ? exchange(address, expectedNode, includeLoads, true)
                    : Promise.value(result == ExchangeResult.DONE));
  }

  private record SentDigest(long version, RequestBody body) {}

  private enum ExchangeResult {
    DONE,
    OTHER_NODE,
    EXCHANGE_ALL
  }

  private ExchangeResult handleResponse(
      ReceivedResponse response, String expectedNode, long sentVersion, boolean includeAll)
      throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("unexpected HTTP status " + response.getStatusCode());
    }
    PeerDigest received = Json.read(response.getBody().getBytes(), PeerDigest.class);
    applyDigest(received);
    writer.recordSent(received.from(), sentVersion);
    if (!expectedNode.isEmpty() && !expectedNode.equals(received.from())) {
      return ExchangeResult.OTHER_NODE;
    }
    boolean differs = received.hash() != table.summaryHash();
    int records = table.view().all().size() + 1;
    return differs && !includeAll && fullExchangeLimiter.tryAcquire(records)
        ? ExchangeResult.EXCHANGE_ALL
        : ExchangeResult.DONE;
  }

  private void applyDigest(PeerDigest received) {
    long refutations = table.refutationCount();
    boolean changed = false;
    MemberRecord sender = null;
    for (PeerDigest.Member member : received.members()) {
      Optional<MemberRecord> record = member.toRecord();
      if (record.isPresent()) {
        changed |= table.merge(record.get());
        sender = record.get().node().equals(received.from()) ? record.get() : sender;
      }
    }
    table.reportReachable(received.from());
    for (PeerDigest.Load load : received.loads()) {
      load.toSummary().ifPresent(table::merge);
    }
    if (changed || !received.loads().isEmpty()) {
      publishView();
    }
    applyReports(received);
    if (sender != null && received.bundleVersion() > 0) {
      distribution.handleAnnouncement(
          sender.peerAddress(),
          new BundleDistribution.Head(received.bundleVersion(), received.bundleDigest()));
    }
    if (table.refutationCount() > refutations) {
      scheduleGossip();
    }
  }

  private void applyReports(PeerDigest received) {
    state
        .leaveSignals()
        .applyPeerReports(
            received.leaving().stream()
                .filter(t -> t.name() != null)
                .map(t -> new DrainTracker.Report(t.name(), t.millis() * NANOS_PER_MILLI))
                .toList());
    boolean changed = quarantined.addRemaining(received.quarantined());
    changed |= suspects.addRemaining(received.suspects());
    if (changed) {
      scheduler.feed(
          new SchedulerEvent.ContentReported(
              quarantined.toMap(), suspects.toMap().keySet().asList(), state.clock().nowNanos()));
      scheduleGossip();
    }
  }

  private void refreshSelfLoad() {
    table.setSelfLoad(withCurrentBundle(table.selfLoad()));
  }

  private LoadSummary withCurrentBundle(LoadSummary load) {
    Optional<Bundle> bundle = state.bundles().current();
    return load.withBundle(
        bundle.map(Bundle::version).orElse(0L), bundle.map(Bundle::digest).orElse(""));
  }

  private void publishView() {
    state.membership().set(table.view());
    state.memberLoads().set(table.loads());
    state.self().set(table.self());
  }

  /** Returns the address of a listed node or a seed that is not a member, in rotation. */
  private Optional<String> nextNonMemberAddress() {
    List<String> nonMembers = new ArrayList<>();
    for (VmEntry vm : state.entryVms().get()) {
      boolean isMember =
          table.find(vm.name()).filter(r -> r.state() != MemberState.GONE).isPresent();
      if (!isMember && !vm.peerAddress().isEmpty()) {
        nonMembers.add(vm.peerAddress());
      }
    }
    if (state.membership().get().all().isEmpty()) {
      state.settings().seeds().forEach(seed -> nonMembers.add(seed.toString()));
    }
    return nonMembers.isEmpty()
        ? Optional.empty()
        : Optional.of(nonMembers.get(Math.floorMod(nextContactIndex++, nonMembers.size())));
  }

  /** Runs a task on the executor to which the membership table is confined. */
  private <T> Promise<T> runSerially(Callable<T> task) {
    return Promise.async(
        downstream ->
            serial.execute(
                () -> {
                  try {
                    downstream.success(task.call());
                  } catch (Exception e) {
                    downstream.error(e);
                  }
                }));
  }

  /** Returns the duration of one period. */
  static long periodMillis() {
    return TimeUnit.SECONDS.toMillis(1);
  }
}
