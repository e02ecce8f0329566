package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
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

  private static final String THIS_NODE = "this node";

  private final CrashRegister register = new CrashRegister();
  private final EventLoop loop;
  private final UpstreamClient client;
  private final EventLog log;
  private Runnable refusalListener = () -> {};

  CrashDetector(EventLoop loop, UpstreamClient client, EventLog log) {
    this.loop = loop;
    this.client = client;
    this.log = log;
  }

  /** Sets what to call when further content is suspected. */
  void setRefusalListener(Runnable listener) {
    refusalListener = listener;
  }

  /**
   * Records that the connection of a request ended before its upstream sent anything of the answer.
   *
   * @param upstream the upstream
   * @param connectedNanos when the connection was opened
   * @param keys what identifies the content of the request
   * @param requestLog the log of the request
   */
  void connectionBroken(
      RegisteredUpstream upstream,
      long connectedNanos,
      ImmutableList<Long> keys,
      RelayLog requestLog) {
    long brokenNanos = System.nanoTime();
    Runnable crashed = () -> crashed(upstream, connectedNanos, brokenNanos, keys, requestLog);
    Runnable ruledOut = () -> requestLog.crashRuledOut(upstream, keys);
    loop.schedule(
            () -> client.checkAlive(upstream, alive -> (alive ? ruledOut : crashed).run()),
            CONFIRMATION_MILLIS,
            TimeUnit.MILLISECONDS)
        .isDone();
  }

  private void crashed(
      RegisteredUpstream upstream,
      long connectedNanos,
      long brokenNanos,
      ImmutableList<Long> keys,
      RelayLog requestLog) {
    ImmutableList<CrashRegister.Change> changes =
        register.crashed(
            keys, upstream.incarnationKey(), connectedNanos, brokenNanos, System.nanoTime());
    requestLog.crashSuspected(upstream, keys, keys.stream().map(register::crashCount).toList());
    apply(changes, THIS_NODE);
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
  void reported(String peer, ImmutableList<CrashRegister.Report> reports) {
    apply(register.reported(reports, System.nanoTime()), peer);
  }

  /** Logs what has changed, and has waiting requests refused if further content is suspected. */
  private void apply(ImmutableList<CrashRegister.Change> changes, String source) {
    boolean suspected = false;
    for (CrashRegister.Change change : changes) {
      if (change.kind() == CrashRegister.ChangeKind.SUSPECTED) {
        suspected = true;
        logSuspected(change, source);
      } else {
        log.write(
            LogEvent.CONTENT_ACCEPTED,
            fields(change) + " cause=" + change.kind() + " source=" + source);
      }
    }
    if (suspected) {
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

  /** Records that a request is sent to find out whether some of its keys crash upstreams. */
  void probeSent(ImmutableList<Long> keys) {
    register.probeSent(keys, System.nanoTime());
  }

  /** Returns what to tell other nodes. */
  ImmutableList<CrashRegister.Report> reports() {
    return register.reports(System.nanoTime());
  }

  /** Returns the number of keys because of which requests are refused. */
  int refusedCount() {
    return register.refusedCount(System.nanoTime());
  }
}
