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
   * @param keys what identifies the content of the request
   * @param confirmed called if the upstream has crashed
   */
  void connectionBroken(RegisteredUpstream upstream, ImmutableList<Long> keys, Runnable confirmed) {
    long brokenNanos = System.nanoTime();
    Runnable crashed =
        () -> {
          confirmed.run();
          String incarnation = upstream.incarnationKey();
          refuse(register.crashed(keys, incarnation, brokenNanos, System.nanoTime()), "this node");
        };
    loop.schedule(
            () -> client.checkAlive(upstream, alive -> runUnless(alive, crashed)),
            CONFIRMATION_MILLIS,
            TimeUnit.MILLISECONDS)
        .isDone();
  }

  private static void runUnless(boolean condition, Runnable action) {
    if (!condition) {
      action.run();
    }
  }

  /** Records that an upstream began to answer a request. */
  void answered(ImmutableList<Long> keys) {
    register.answered(keys, System.nanoTime());
  }

  /** Applies what another node knows. */
  void reported(String peer, ImmutableList<CrashRegister.Report> reports) {
    refuse(register.reported(reports, System.nanoTime()), peer);
  }

  private void refuse(ImmutableList<Long> keys, String source) {
    keys.forEach(
        key ->
            log.write(
                LogEvent.CONTENT_QUARANTINED,
                "key="
                    + Long.toHexString(key)
                    + " suspicion="
                    + register.suspicion(key, System.nanoTime())
                    + " ms="
                    + judge(ImmutableList.of(key)).refusalMillis()
                    + " source="
                    + source));
    if (!keys.isEmpty()) {
      refusalListener.run();
    }
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
