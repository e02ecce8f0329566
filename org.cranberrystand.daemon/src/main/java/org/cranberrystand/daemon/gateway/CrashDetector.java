package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CrashRegister;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Tells crashes of upstreams from connections that broke alone, and applies what is known of the
 * content that causes crashes. Used only on the event loop.
 */
final class CrashDetector {
  /** All connections to an upstream that has crashed are closed within this time. */
  private static final long CONFIRMATION_MILLIS = 100;

  /** By this time an upstream has stopped to work on a request whose connection was closed. */
  private static final long GIVEN_UP_MILLIS = 500;

  /** An upstream that falls silent as it crashes is registered again within this time. */
  private static final long UNEXPLAINED_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final int MAX_UNEXPLAINED = 1_024;

  private static final String THIS_NODE = "this node";

  private final CrashRegister register = new CrashRegister();
  private final Map<String, List<Unconfirmed>> unconfirmedByIncarnation = new HashMap<>();

  /** Attempts without an answer whose upstreams are not known to have crashed, the oldest first. */
  private final Deque<Suspect> unexplained = new ArrayDeque<>();

  private final EventLoop loop;
  private final UpstreamClient client;
  private final EventLog log;
  private Runnable refusalListener = () -> {};

  CrashDetector(EventLoop loop, UpstreamClient client, EventLog log) {
    this.loop = loop;
    this.client = client;
    this.log = log;
  }

  /** Sets what to call when other content is refused than before. */
  void setRefusalListener(Runnable listener) {
    refusalListener = listener;
  }

  /**
   * An attempt that may have crashed its upstream.
   *
   * @param upstream the upstream
   * @param connectedNanos when its connection was opened
   * @param endedNanos when the connection was lost or closed
   * @param keys what identifies the content of the request, the key of the whole content first
   * @param log the log of the request
   */
  record Suspect(
      RegisteredUpstream upstream,
      long connectedNanos,
      long endedNanos,
      ImmutableList<Long> keys,
      RelayLog log) {

    /** Returns whether the process that registered took the place of that of the attempt. */
    private boolean isReplacedBy(RegisteredUpstream registered) {
      boolean otherStart =
          upstream.startedAtMillis() > 0
              && registered.startedAtMillis() > 0
              && upstream.startedAtMillis() != registered.startedAtMillis();
      return upstream.id().equals(registered.id())
          ? otherStart
          : upstream.address().equals(registered.address());
    }
  }

  private record Unconfirmed(Suspect suspect, Runnable repeat) {}

  /**
   * Records that the upstream of an attempt has crashed, unless it is found to run.
   *
   * @param suspect the attempt
   * @param repeat called as soon as a further crash would count by itself
   */
  void connectionBroken(Suspect suspect, Runnable repeat) {
    addUnexplained(suspect);
    String incarnation = suspect.upstream().incarnationKey();
    Unconfirmed added = new Unconfirmed(suspect, repeat);
    List<Unconfirmed> unconfirmed = unconfirmedByIncarnation.get(incarnation);
    if (unconfirmed != null) {
      unconfirmed.add(added);
      return;
    }
    unconfirmedByIncarnation.put(incarnation, new ArrayList<>(List.of(added)));
    loop.schedule(() -> confirm(incarnation), CONFIRMATION_MILLIS, TimeUnit.MILLISECONDS).isDone();
  }

  private void confirm(String incarnation) {
    List<Unconfirmed> unconfirmed = unconfirmedByIncarnation.remove(incarnation);
    Suspect last = unconfirmed.get(unconfirmed.size() - 1).suspect();
    client.checkAlive(
        last.upstream(),
        last.endedNanos(),
        alive -> unconfirmed.forEach(alive ? this::ruledOut : this::crashed));
  }

  private void ruledOut(Unconfirmed unconfirmed) {
    Suspect suspect = unconfirmed.suspect();
    suspect.log().crashRuledOut(suspect.upstream(), suspect.keys());
    unconfirmed.repeat().run();
  }

  private void addUnexplained(Suspect suspect) {
    if (unexplained.size() >= MAX_UNEXPLAINED) {
      unexplained.removeFirst();
    }
    unexplained.addLast(suspect);
  }

  /**
   * Records that an upstream is registered. If another process ran in its place, that has ended
   * since, even if no connection showed it.
   */
  void registered(RegisteredUpstream upstream) {
    register.registered(upstream.incarnationKey(), upstream.failureDomain());
    long oldestNanos = System.nanoTime() - UNEXPLAINED_NANOS;
    unexplained.removeIf(suspect -> suspect.endedNanos() - oldestNanos < 0);
    List<Suspect> ended =
        unexplained.stream().filter(suspect -> suspect.isReplacedBy(upstream)).toList();
    ended.forEach(this::crashed);
  }

  private void crashed(Unconfirmed unconfirmed) {
    crashed(unconfirmed.suspect());
    long elapsedNanos = System.nanoTime() - unconfirmed.suspect().endedNanos();
    loop.schedule(
            unconfirmed.repeat(),
            CrashRegister.MIN_SEPARATION_NANOS - elapsedNanos,
            TimeUnit.NANOSECONDS)
        .isDone();
  }

  /**
   * Records that this node gave up an attempt, because the caller left or the upstream took too
   * long. The upstream may end because of it all the same, which no connection shows then.
   *
   * @param suspect the attempt
   * @param mayConnect whether a connection may be opened to find out
   */
  void attemptGivenUp(Suspect suspect, boolean mayConnect) {
    addUnexplained(suspect);
    loop.schedule(() -> confirmGivenUp(suspect, mayConnect), GIVEN_UP_MILLIS, TimeUnit.MILLISECONDS)
        .isDone();
  }

  private void confirmGivenUp(Suspect suspect, boolean mayConnect) {
    RegisteredUpstream upstream = suspect.upstream();
    boolean knownToEnd =
        register.hasCrashed(
            upstream.incarnationKey(), suspect.connectedNanos(), suspect.endedNanos());
    if (knownToEnd) {
      crashed(suspect);
    } else if (mayConnect && (!client.isConnected(upstream) || isSuspicious(suspect.keys()))) {
      client.checkListening(upstream, listening -> confirmed(suspect, listening));
    }
  }

  /** Returns whether the content has crashes, so that a further one is worth a connection. */
  private boolean isSuspicious(ImmutableList<Long> keys) {
    return crashCount(keys.get(0)) > 0;
  }

  private void confirmed(Suspect suspect, boolean listening) {
    if (!listening) {
      crashed(suspect);
    }
  }

  private void crashed(Suspect suspect) {
    unexplained.remove(suspect);
    ImmutableList<Long> keys = suspect.keys();
    ImmutableList<CrashRegister.Change> changes =
        register.crashed(
            keys,
            suspect.upstream().incarnationKey(),
            suspect.connectedNanos(),
            suspect.endedNanos(),
            System.nanoTime());
    suspect
        .log()
        .crashSuspected(suspect.upstream(), keys, keys.stream().map(this::crashCount).toList());
    apply(changes, THIS_NODE);
  }

  /** Records an answer of an upstream on a connection that was opened at a time. */
  void survived(RegisteredUpstream upstream, long connectedNanos) {
    register.survived(
        upstream.incarnationKey(), upstream.failureDomain(), connectedNanos, System.nanoTime());
  }

  /** Records that an upstream survived content. */
  void answered(ImmutableList<Long> keys) {
    apply(register.answered(keys, System.nanoTime()), THIS_NODE);
  }

  /** Records that an upstream answered with a failure, and may not have run the content. */
  void failed(RegisteredUpstream upstream, ImmutableList<Long> keys) {
    apply(register.failed(keys, upstream.incarnationKey(), System.nanoTime()), THIS_NODE);
  }

  /** Applies what another node knows. */
  void reported(
      String peer, ImmutableList<CrashRegister.Report> reports, ImmutableList<Integer> survived) {
    register.survivedElsewhere(survived);
    apply(register.reported(reports, System.nanoTime()), peer);
  }

  /** Logs what has changed, and has the requests refused that must not be sent any more. */
  private void apply(ImmutableList<CrashRegister.Change> changes, String source) {
    for (CrashRegister.Change change : changes) {
      if (change.kind() == CrashRegister.ChangeKind.SUSPECTED) {
        logSuspected(change, source);
      } else {
        log.write(
            LogEvent.CONTENT_ACCEPTED,
            fields(change) + " cause=" + change.kind() + " source=" + source);
      }
    }
    if (!changes.isEmpty()) {
      // What is accepted again may have explained the crashes of other content.
      refusalListener.run();
    }
  }

  private void logSuspected(CrashRegister.Change change, String source) {
    log.write(
        LogEvent.CONTENT_QUARANTINED,
        fields(change)
            + " suspicion="
            + register.suspicion(change.key(), System.nanoTime())
            + " ms="
            + judge(ImmutableList.of(change.key())).refusalMillis()
            + " source="
            + source);
  }

  private static String fields(CrashRegister.Change change) {
    return "key=" + Long.toHexString(change.key()) + " crashes=" + change.crashes();
  }

  /** Decides whether a request with the given keys may be sent. */
  CrashRegister.Verdict judge(ImmutableList<Long> keys) {
    return register.judge(keys, System.nanoTime());
  }

  /** Returns how many upstreams crashed without an answer to a request with a key in between. */
  int crashCount(long key) {
    return register.crashCount(key);
  }

  /** Records that a request is sent to find out whether some of its keys crash upstreams. */
  void probeSent(ImmutableList<Long> keys) {
    register.probeSent(keys, System.nanoTime());
  }

  /** Returns what to tell other nodes. */
  ImmutableList<CrashRegister.Report> reports() {
    apply(register.review(System.nanoTime()), THIS_NODE);
    return register.reports(System.nanoTime());
  }

  /**
   * Returns which crashes to tell other nodes of that others in the failure domain lived through.
   */
  ImmutableList<Integer> survivedCrashes() {
    return register.survivedCrashes(System.nanoTime());
  }

  /** Returns the number of keys because of which requests are refused. */
  int refusedCount() {
    return register.refusedCount(System.nanoTime());
  }
}
