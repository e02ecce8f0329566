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
 * Exchanges digests with other nodes and keeps the node's view of the fleet.
 *
 * <p>The table is confined to a serial executor; the view is published as an immutable snapshot.
 * Safe for use by several threads.
 */
public final class MembershipService {
  private static final String DIGEST_PATH = "peer/v1/digest";
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** News reaches 460 nodes in about 6 steps when each node passes it to 3 others. */
  private static final int NEWS_FAN_OUT = 3;

  /** Pause before news is passed on, so that several pieces share one message. */
  private static final long NEWS_DELAY_MILLIS = 20;

  private static final int INDIRECT_PROBES = 2;

  private static final long SUSPECT_CONTENT_NANOS = 60 * NANOS_PER_SECOND;

  /** Records per second that full exchanges may send; a record has about 120 bytes. */
  private static final double FULL_RECORDS_PER_SECOND = 16;

  private final NodeState state;
  private final PeerClient client;
  private final BundleDistribution distribution;
  private final SchedulerLoop scheduler;
  private final TaskRunner retry;
  private final SerialExecutor serial;
  private final MembershipTable table;
  private final ProbeOrder order;
  private final ContentSignals quarantined;
  private final ContentSignals suspects;
  private final DigestWriter writer;
  private final RateLimiter fullExchanges = RateLimiter.create(FULL_RECORDS_PER_SECOND);
  private final AtomicBoolean newsScheduled = new AtomicBoolean();
  private int nextContact;

  MembershipService(
      NodeState state,
      MemberRecord self,
      PeerClient client,
      BundleDistribution distribution,
      SchedulerLoop scheduler,
      EventLog log,
      TaskRunner retry) {
    this.state = state;
    this.client = client;
    this.distribution = distribution;
    this.scheduler = scheduler;
    this.retry = retry;
    this.serial = new SerialExecutor(t -> log.write(LogEvent.TASK_FAILED, "task=members", t));
    this.table = new MembershipTable(self, state.clock(), MembershipTable.Timing.defaults());
    this.order = new ProbeOrder(new Random(state.incarnation().id()));
    this.quarantined = new ContentSignals(state.clock());
    this.suspects = new ContentSignals(state.clock());
    this.writer = new DigestWriter(state, table, quarantined, suspects);
  }

  /**
   * Publishes the load of this node with the next digests.
   *
   * @param load the load of this node; sequence number and bundle are filled in
   */
  public void publishLoad(LoadSummary load) {
    serial.execute(() -> table.setSelfLoad(ownLoad(load)));
  }

  /**
   * Publishes content that this node found suspect or quarantined.
   *
   * @param quarantinedUntilNanos quarantined digests and the end of their quarantine
   * @param suspectDigests suspect digests
   */
  public void publishContent(Map<String, Long> quarantinedUntilNanos, List<String> suspectDigests) {
    serial.execute(
        () -> {
          boolean news = false;
          for (Map.Entry<String, Long> entry : quarantinedUntilNanos.entrySet()) {
            news |= quarantined.add(entry.getKey(), entry.getValue());
          }
          long end = state.clock().nowNanos() + SUSPECT_CONTENT_NANOS;
          for (String digest : suspectDigests) {
            news |= suspects.add(digest, end);
          }
          if (news) {
            spread();
          }
        });
  }

  /**
   * Returns the own record.
   *
   * @return the record that other nodes are sent
   */
  Promise<MemberRecord> self() {
    return inTable(table::self);
  }

  /** Announces at once that this node is leaving. */
  void leave() {
    serial.execute(
        () -> {
          table.setSelfState(MemberState.LEAVING);
          spread();
        });
  }

  /** Passes the current digest to some members soon. */
  void spread() {
    if (newsScheduled.compareAndSet(false, true)) {
      retry.runAfter(
          NEWS_DELAY_MILLIS,
          () -> {
            newsScheduled.set(false);
            serial.execute(
                () -> {
                  refreshOwnLoad();
                  for (MemberRecord peer :
                      order.sample(state.membership().get(), NEWS_FAN_OUT, "")) {
                    retry.run("news", () -> pushTo(peer));
                  }
                });
          });
    }
  }

  /** Runs one period: time-outs, one probe of a member and one attempt at an unknown node. */
  void runPeriod() {
    serial.execute(
        () -> {
          table.tick();
          writer.forgetRemovedMembers();
          quarantined.expire();
          suspects.expire();
          refreshOwnLoad();
          publish();
          scheduler.feed(
              new SchedulerEvent.PeersChanged(
                  state.settings().node(), PeerLoadConverter.of(table), state.clock().nowNanos()));
          order.next(state.membership().get()).ifPresent(this::probe);
          nextUnknown().ifPresent(address -> retry.run("contact", () -> contact(address)));
        });
    state.leaveSignals().expire();
  }

  /**
   * Exchanges digests with several members, after a pause or at the start.
   *
   * @param count how many to ask
   * @return how many answered
   */
  Promise<Integer> refresh(int count) {
    return inTable(
            () -> {
              table.restartSuspicionTimers();
              return ImmutableList.copyOf(order.sample(table.view(), count, ""));
            })
        .flatMap(this::exchangeWithAll);
  }

  /**
   * Exchanges digests with an address.
   *
   * @param address the listener for peers of any node
   * @return whether it answered
   */
  Promise<Boolean> contact(String address) {
    return exchange(address, "", true, true).mapError(cause -> false);
  }

  /**
   * Handles a digest of another node.
   *
   * @param body the digest
   * @return the digest of this node
   */
  Promise<byte[]> handle(byte[] body) {
    return inTable(
        () -> {
          PeerDigest received = Json.read(body, PeerDigest.class);
          apply(received);
          boolean wantsAll = received.hash() == 0;
          byte[] reply =
              Json.toBytes(writer.write(received.from(), wantsAll, !received.loads().isEmpty()));
          writer.sent(received.from(), table.version());
          return reply;
        });
  }

  /**
   * Asks a node on behalf of another one.
   *
   * @param node the name of the node to ask
   * @return whether it answered
   */
  Promise<Boolean> probeFor(String node) {
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

  /** Passes news on; a lost message is made up for by the periodic exchanges. */
  private Promise<Boolean> pushTo(MemberRecord peer) {
    return exchange(peer.peerAddress(), peer.node(), false, false).mapError(cause -> false);
  }

  private void probe(MemberRecord target) {
    retry.run(
        "probe",
        () ->
            exchange(target.peerAddress(), target.node(), true, false)
                .mapError(cause -> false)
                .flatMap(answered -> answered ? Promise.value(true) : probeIndirectly(target))
                .flatMap(answered -> record(target.node(), answered)));
  }

  private Promise<Boolean> probeIndirectly(MemberRecord target) {
    List<MemberRecord> helpers =
        order.sample(state.membership().get(), INDIRECT_PROBES, target.node());
    if (helpers.isEmpty()) {
      return Promise.value(false);
    }
    List<Promise<Boolean>> calls = new ArrayList<>();
    for (MemberRecord helper : helpers) {
      String path = "peer/v1/probe/" + target.node();
      calls.add(
          client
              .call(helper.peerAddress(), "GET", path, new byte[0])
              .map(response -> response.getStatusCode() == 204)
              .mapError(cause -> false));
    }
    return ratpack.exec.util.ParallelBatch.of(calls).yield().map(a -> a.contains(true));
  }

  private Promise<Boolean> record(String node, boolean answered) {
    return inTable(
        () -> {
          if (answered) {
            table.reportReachable(node);
          } else {
            table.reportUnreachable(node);
          }
          publish();
          return answered;
        });
  }

  /**
   * Sends a digest and merges the response.
   *
   * @param address the peer
   * @param expected the name of the node expected there, or an empty string
   * @param withLoads whether to exchange loads
   * @param all whether to exchange all records
   * @return whether the expected node answered
   */
  private Promise<Boolean> exchange(
      String address, String expected, boolean withLoads, boolean all) {
    return inTable(
            () -> {
              PeerDigest digest = writer.write(expected, all, withLoads);
              return new Sent(
                  table.version(),
                  new RequestBody(Json.toBytes(all ? digest.requestingAllRecords() : digest)));
            })
        .flatMap(
            sent ->
                client
                    .call(address, "POST", DIGEST_PATH, sent.body().bytes())
                    .flatMap(r -> inTable(() -> received(r, expected, sent.version(), all))))
        .flatMap(
            next ->
                next == Next.EXCHANGE_ALL
                    ? exchange(address, expected, withLoads, true)
                    : Promise.value(next == Next.DONE));
  }

  private record Sent(long version, RequestBody body) {}

  private enum Next {
    DONE,
    OTHER_NODE,
    EXCHANGE_ALL
  }

  private Next received(ReceivedResponse response, String expected, long sentVersion, boolean all)
      throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("status " + response.getStatusCode());
    }
    PeerDigest received = Json.read(response.getBody().getBytes(), PeerDigest.class);
    apply(received);
    writer.sent(received.from(), sentVersion);
    if (!expected.isEmpty() && !expected.equals(received.from())) {
      return Next.OTHER_NODE;
    }
    boolean differs = received.hash() != table.summaryHash();
    int records = table.view().all().size() + 1;
    return differs && !all && fullExchanges.tryAcquire(records) ? Next.EXCHANGE_ALL : Next.DONE;
  }

  private void apply(PeerDigest received) {
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
      publish();
    }
    applySignals(received);
    if (sender != null && received.bundleVersion() > 0) {
      distribution.announced(
          sender.peerAddress(),
          new BundleDistribution.Head(received.bundleVersion(), received.bundleDigest()));
    }
    if (table.refutationCount() > refutations) {
      spread();
    }
  }

  private void applySignals(PeerDigest received) {
    state
        .leaveSignals()
        .reportedByPeer(
            received.leaving().stream()
                .filter(t -> t.name() != null)
                .map(t -> new DrainTracker.Report(t.name(), t.millis() * NANOS_PER_MILLI))
                .toList());
    boolean news = quarantined.addRemaining(received.quarantined());
    news |= suspects.addRemaining(received.suspects());
    if (news) {
      scheduler.feed(
          new SchedulerEvent.ContentReported(
              quarantined.all(), suspects.all().keySet().asList(), state.clock().nowNanos()));
      spread();
    }
  }

  private void refreshOwnLoad() {
    table.setSelfLoad(ownLoad(table.selfLoad()));
  }

  private LoadSummary ownLoad(LoadSummary load) {
    Optional<Bundle> bundle = state.bundles().current();
    return load.withBundle(
        bundle.map(Bundle::version).orElse(0L), bundle.map(Bundle::digest).orElse(""));
  }

  private void publish() {
    state.membership().set(table.view());
    state.memberLoads().set(table.loads());
    state.self().set(table.self());
  }

  /** Returns a listed node or seed that the table does not hold as a member, in turn. */
  private Optional<String> nextUnknown() {
    List<String> unknown = new ArrayList<>();
    for (VmEntry vm : state.entryVms().get()) {
      boolean known = table.find(vm.name()).filter(r -> r.state() != MemberState.GONE).isPresent();
      if (!known && !vm.peerAddress().isEmpty()) {
        unknown.add(vm.peerAddress());
      }
    }
    if (state.membership().get().all().isEmpty()) {
      state.settings().seeds().forEach(seed -> unknown.add(seed.toString()));
    }
    return unknown.isEmpty()
        ? Optional.empty()
        : Optional.of(unknown.get(Math.floorMod(nextContact++, unknown.size())));
  }

  private <T> Promise<T> inTable(Callable<T> task) {
    return Promise.async(
        down ->
            serial.execute(
                () -> {
                  try {
                    down.success(task.call());
                  } catch (Exception e) {
                    down.error(e);
                  }
                }));
  }

  /** Returns the time of one period. */
  static long periodMillis() {
    return TimeUnit.SECONDS.toMillis(1);
  }
}
