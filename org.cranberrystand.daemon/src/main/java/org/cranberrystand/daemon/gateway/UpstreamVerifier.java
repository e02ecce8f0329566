package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.cranberrystand.util.BoundedMap;

/**
 * Finds out whether the process at the address of an upstream is the one that registered.
 *
 * <p>An upstream may start again under its identifier with another software version, and its
 * registration arrives later, or not at all while the store is away. The process says itself when
 * it started. If it does not answer, it is trusted unless a connection to it could not be opened
 * since its registration was read. Used only on the event loop.
 */
final class UpstreamVerifier {
  /** Upstreams answer within a few milliseconds. */
  private static final long TIMEOUT_MILLIS = 250;

  /** A registration that is read this long after a doubt was written after it. */
  private static final long REGISTRATION_LAG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final int MAX_DOUBTED = 4_096;

  private final EventLoop loop;
  private final EventLog log;
  private final Map<String, CompletionStage<Boolean>> inProgress = new HashMap<>();
  private final Map<String, Long> doubtedNanosByIncarnation = new BoundedMap<>(MAX_DOUBTED);
  private UpstreamRuns upstreamRuns;

  UpstreamVerifier(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  /** Sets the client of the upstreams, before any upstream is doubted or verified. */
  void setClient(UpstreamRuns client) {
    upstreamRuns = client;
  }

  /** Records that no connection to an upstream could be opened. */
  void doubt(RegisteredUpstream upstream) {
    boolean isNew =
        doubtedNanosByIncarnation.putIfAbsent(upstream.incarnationKey(), System.nanoTime()) == null;
    if (isNew) {
      verify(upstream, isRegistered -> {});
    }
  }

  /** Returns whether the process may be another one than the registered one. */
  boolean isDoubted(RegisteredUpstream upstream) {
    return doubtedNanosByIncarnation.containsKey(upstream.incarnationKey());
  }

  /** Records a registration that the upstream has just written. */
  void registered(RegisteredUpstream upstream) {
    Long doubted = doubtedNanosByIncarnation.get(upstream.incarnationKey());
    if (doubted != null && System.nanoTime() - doubted >= REGISTRATION_LAG_NANOS) {
      doubtedNanosByIncarnation.remove(upstream.incarnationKey());
    }
  }

  /**
   * Asks the process at the address of an upstream when it started.
   *
   * @param upstream the upstream
   * @param receiver receives whether it is the registered one, as far as it can be known
   */
  void verify(RegisteredUpstream upstream, Consumer<Boolean> receiver) {
    inProgress
        .computeIfAbsent(upstream.incarnationKey(), key -> ask(upstream))
        .thenAccept(receiver);
  }

  private CompletionStage<Boolean> ask(RegisteredUpstream upstream) {
    CompletableFuture<UpstreamRuns.Report> answer =
        upstreamRuns
            .fetch(upstream)
            .toCompletableFuture()
            .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    return answer.handleAsync((report, failure) -> judge(upstream, report, failure), loop);
  }

  private boolean judge(
      RegisteredUpstream upstream, UpstreamRuns.Report report, Throwable failure) {
    String key = upstream.incarnationKey();
    inProgress.remove(key);
    if (failure != null) {
      return !isDoubted(upstream);
    }
    if (report.startedAtMillis() == upstream.startedAtMillis()) {
      doubtedNanosByIncarnation.remove(key);
      return true;
    }
    log.write(
        LogEvent.UPSTREAM_REPLACED,
        "upstream="
            + upstream.id()
            + " started_at_ms="
            + report.startedAtMillis()
            + " registered_ms="
            + upstream.startedAtMillis()
            + " version="
            + upstream.softwareVersion());
    doubtedNanosByIncarnation.putIfAbsent(key, System.nanoTime());
    return false;
  }
}
