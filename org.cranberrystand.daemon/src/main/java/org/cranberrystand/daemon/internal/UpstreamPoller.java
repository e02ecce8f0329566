package org.cranberrystand.daemon.internal;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.upstream.LoadReport;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.CacheEvents;
import org.cranberrystand.wire.http.EngineLoad;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.client.ReceivedResponse;

/**
 * Polls the load reports and cache events of the upstreams each second.
 *
 * <p>Safe for use by several threads.
 */
public final class UpstreamPoller implements AutoCloseable {
  private static final long PERIOD_MILLIS = 1_000;
  private static final long JITTER_MILLIS = 200;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_REPORT_AGE_MILLIS = 600_000;

  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final UpstreamHttpClient client;
  private final Map<String, CacheEventReader> cacheReaders = new ConcurrentHashMap<>();
  private final Set<String> failedUpstreams = ConcurrentHashMap.newKeySet();
  private volatile ScheduledFuture<?> timer;

  /**
   * Creates a poller.
   *
   * @param state the state of the node
   * @param scheduler receives the reports and events
   * @param log receives the first of consecutive failures of each upstream
   * @throws Exception if the client cannot be created
   */
  public UpstreamPoller(NodeState state, SchedulerLoop scheduler, EventLog log) throws Exception {
    this.state = state;
    this.scheduler = scheduler;
    this.log = log;
    this.client = new UpstreamHttpClient(Duration.ofMillis(2 * PERIOD_MILLIS));
  }

  /**
   * Starts to poll.
   *
   * @param exec runs the calls
   */
  public void start(ExecController exec) {
    timer =
        exec.getExecutor()
            .scheduleAtFixedRate(() -> pollAll(exec), 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    ScheduledFuture<?> current = timer;
    if (current != null) {
      current.cancel(false);
    }
    client.close();
  }

  private void pollAll(ExecController exec) {
    Set<String> names = ConcurrentHashMap.newKeySet();
    for (UpstreamRecord upstream : state.directory().get().all()) {
      names.add(upstream.name());
      Duration delay = Duration.ofMillis(delayMillis(upstream));
      exec.fork()
          .onError(cause -> logFailure(upstream, cause))
          .start(execution -> Promise.value(upstream).defer(delay).then(this::poll));
    }
    cacheReaders.keySet().retainAll(names);
    failedUpstreams.retainAll(names);
  }

  // Each pair of node and upstream has a fixed offset within the period. This spreads the polls of
  // one upstream by all nodes and keeps the interval between two polls close to the period.
  private long delayMillis(UpstreamRecord upstream) {
    int hash = (state.settings().node() + upstream.name()).hashCode();
    long offsetMillis = Math.floorMod(hash, PERIOD_MILLIS - JITTER_MILLIS);
    return offsetMillis + ThreadLocalRandom.current().nextLong(JITTER_MILLIS);
  }

  private void poll(UpstreamRecord upstream) {
    client
        .get(upstream, "v1/load")
        .map(UpstreamPoller::requireOk)
        .map(response -> Json.read(response.getBody().getBytes(), EngineLoad.class))
        .onError(cause -> logFailure(upstream, cause))
        .then(load -> applyLoadReport(upstream, load));
    if (isModelUpstream(upstream)) {
      CacheEventReader reader =
          cacheReaders.computeIfAbsent(upstream.name(), CacheEventReader::new);
      client
          .get(upstream, "v1/cache-events?after=" + reader.lastSequence())
          .map(UpstreamPoller::requireOk)
          .map(response -> Json.read(response.getBody().getBytes(), CacheEvents.class))
          .onError(cause -> logFailure(upstream, cause))
          .then(events -> reader.read(events, state.clock().nowNanos()).ifPresent(scheduler::feed));
    }
  }

  private boolean isModelUpstream(UpstreamRecord upstream) {
    UpstreamPool pool =
        state.bundles().current().map(b -> b.pools().get(upstream.pool())).orElse(null);
    return pool != null && pool.type().isStreaming();
  }

  private void applyLoadReport(UpstreamRecord upstream, EngineLoad load) {
    failedUpstreams.remove(upstream.name());
    long now = state.clock().nowNanos();
    long ageMillis = Math.max(0, Math.min(MAX_REPORT_AGE_MILLIS, load.asOfMillisAgo()));
    long observedAtNanos = now - ageMillis * NANOS_PER_MILLI;
    LoadReport report =
        new LoadReport(
            observedAtNanos,
            load.runningSequences(),
            load.waitingSequences(),
            load.runningTokens(),
            load.draining());
    scheduler.feed(new SchedulerEvent.LoadReported(upstream.name(), report, now));
    state.leaveSignals().applyLoadReport(upstream.name(), load.draining(), observedAtNanos);
  }

  private void logFailure(UpstreamRecord upstream, Throwable cause) {
    if (failedUpstreams.add(upstream.name())) {
      log.write(LogEvent.UPSTREAM_BROKEN, "upstream=" + upstream.name() + " report cause=" + cause);
    }
  }

  private static ReceivedResponse requireOk(ReceivedResponse response) throws IOException {
    if (response.getStatusCode() != 200) {
      throw new IOException("unexpected HTTP status " + response.getStatusCode());
    }
    return response;
  }
}
