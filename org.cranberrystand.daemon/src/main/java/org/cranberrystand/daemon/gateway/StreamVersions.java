package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.StreamInference;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.dispatch.StreamRuns;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.WeightedPool;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Finds out where a stream began that no node knows, from what upstreams say that they run and from
 * what the store still knows of the past. Used only on the event loop.
 */
final class StreamVersions {
  /** A node may still use an upstream for this time after its registration was removed. */
  private static final long REMOVAL_LAG_MILLIS = 2_500;

  /** Upstreams answer within a few milliseconds; those that do not are not waited for. */
  private static final long RUNS_TIMEOUT_MILLIS = 250;

  /** The lists of upstreams are up to seconds old, so asking more often brings nothing. */
  private static final long RUNS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Larger pools are not asked: each node would send that many calls after a restart of all. */
  private static final int MAX_UPSTREAMS = 128;

  /** Longer than any stream lasts. */
  private static final long COMPLETE_HISTORY_NANOS = TimeUnit.DAYS.toNanos(1);

  /** The pause after a read of the history that failed. */
  private static final long HISTORY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** How much clocks of VMs may differ. */
  private static final long CLOCK_DIFFERENCE_MILLIS = 5_000;

  private final EventLoop loop;
  private final FleetState fleet;
  private final PublishedDecoder decoder;
  private final long historyMillis;
  private final EventLog log;
  private final StreamRuns runs = new StreamRuns();
  private final Map<String, Long> askedNanosByPool = new HashMap<>();
  private PublishedStore store;
  private UpstreamRuns upstreamRuns;
  private boolean historyRead;
  private long historyTriedNanos = System.nanoTime() - HISTORY_INTERVAL_NANOS;
  private CompletableFuture<Void> historyInProgress;
  private final Map<String, CompletableFuture<Void>> runsInProgress = new HashMap<>();
  private int pendingCount;

  StreamVersions(
      EventLoop loop,
      FleetState fleet,
      PublishedDecoder decoder,
      long historyMillis,
      EventLog log) {
    this.loop = loop;
    this.fleet = fleet;
    this.decoder = decoder;
    this.historyMillis = historyMillis;
    this.log = log;
  }

  /** Sets the clients of the store and the upstreams, before any stream is sought. */
  void setClients(PublishedStore storeClient, UpstreamRuns runsClient) {
    store = storeClient;
    upstreamRuns = runsClient;
  }

  /**
   * Asks the upstreams of all pools whose streams callers may resume. To be called when the node
   * first knows them: requests that began before it started end soon, and callers name them later.
   */
  void askAll() {
    fleet.routing().resumablePools().forEach(pool -> askUpstreams(pool).isDone());
  }

  /** Returns where a stream began if a run of its request is known already, and only one. */
  Optional<StreamOrigins.Origin> provenByRun(String stream) {
    ImmutableList<StreamOrigins.Origin> origins = runs.origins(stream);
    return origins.size() == 1 ? Optional.of(origins.get(0)) : Optional.empty();
  }

  /** Returns the number of streams whose origin is being found out. */
  int pendingCount() {
    return pendingCount;
  }

  /** Removes what is too old to be of use; to be called at short intervals. */
  void tick(long nowNanos) {
    runs.expire(nowNanos);
  }

  /**
   * Finds out where a stream began.
   *
   * @param stream the identifier of the request that received its first event
   * @param route the route of the request that resumes it
   * @param host the host of this request
   * @param path the path of this request
   * @param receiver receives the result later
   */
  void find(
      String stream,
      Route route,
      String host,
      String path,
      Consumer<StreamInference.Result> receiver) {
    pendingCount++;
    long windowNanos = TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis() + REMOVAL_LAG_MILLIS);
    List<CompletableFuture<Void>> steps = new ArrayList<>();
    steps.add(readHistory(windowNanos));
    for (WeightedPool pool : route.pools()) {
      steps.add(askUpstreams(pool.pool()));
    }
    CompletionStage<Void> all = CompletableFuture.allOf(steps.toArray(CompletableFuture[]::new));
    all.whenComplete(
        (done, failure) ->
            loop.execute(
                () -> {
                  pendingCount--;
                  receiver.accept(infer(stream, host, path, windowNanos));
                }));
  }

  private StreamInference.Result infer(String stream, String host, String path, long windowNanos) {
    long now = System.nanoTime();
    Optional<String> pool = fleet.routes().solePool(host, path, windowNanos, now);
    Optional<ImmutableSet<String>> versions =
        pool.flatMap(name -> fleet.versions().versionsServed(name, windowNanos, now));
    StreamInference.Result result =
        StreamInference.infer(stream, runs.origins(stream), pool, versions);
    log.write(
        LogEvent.STREAM_INFERRED,
        "stream="
            + stream
            + " basis="
            + result.basis()
            + " origin="
            + result.origin()
            + " pool="
            + pool
            + " versions="
            + versions
            + " window_ms="
            + TimeUnit.NANOSECONDS.toMillis(windowNanos));
    return result;
  }

  /** Reads the history of the store, unless enough of the past is known. */
  private CompletableFuture<Void> readHistory(long windowNanos) {
    if (historyInProgress != null) {
      return historyInProgress;
    }
    long now = System.nanoTime();
    PublishedVersion known = fleet.published().version();
    boolean isUseful =
        !historyRead
            && now - historyTriedNanos >= HISTORY_INTERVAL_NANOS
            // A restored store has lost changes from before the restoration.
            && known.era() == 0
            && !fleet.versions().covers(windowNanos, now);
    if (!isUseful) {
      return CompletableFuture.completedFuture(null);
    }
    historyTriedNanos = now;
    historyInProgress = new CompletableFuture<>();
    CompletableFuture<Void> finished = historyInProgress;
    StoreHistory.read(loop, store, known)
        .whenComplete(
            (retained, failure) -> {
              historyInProgress = null;
              if (failure == null) {
                historyRead = true;
                applyHistory(known, retained);
              } else {
                log.write(LogEvent.STORE_HISTORY_READ, "version=" + known + " cause=" + failure);
              }
              finished.complete(null);
            });
    return finished;
  }

  private void applyHistory(PublishedVersion known, StoreHistory.Retained retained) {
    long sinceMillis = System.currentTimeMillis() - historyMillis - CLOCK_DIFFERENCE_MILLIS;
    RetainedChanges changes = new RetainedChanges(decoder, retained.changes(), sinceMillis);
    boolean discarded = !retained.isComplete() && wasDiscarded(changes, sinceMillis);
    boolean isUnknown = !retained.isComplete() && changes.hasUnknownRegistration();
    long nanos =
        retained.isComplete()
            ? COMPLETE_HISTORY_NANOS
            : TimeUnit.MILLISECONDS.toNanos(historyMillis);
    boolean isUsable = !discarded && !isUnknown && fleet.published().version().isSameEra(known);
    log.write(
        LogEvent.STORE_HISTORY_READ,
        "version="
            + known
            + " changes="
            + retained.changes().size()
            + " complete="
            + retained.isComplete()
            + " discarded="
            + discarded
            + " unknown_registration="
            + isUnknown
            + " used="
            + isUsable);
    if (isUsable) {
      fleet.versions().extend(changes.upstreams(), System.nanoTime() - nanos);
      fleet.routes().extend(changes.declarations(), System.nanoTime());
    }
  }

  /**
   * Returns whether the store discarded changes before their time: the registration of an upstream
   * that started lately is not retained.
   */
  private boolean wasDiscarded(RetainedChanges changes, long sinceMillis) {
    return fleet.versions().registered().stream()
        .anyMatch(
            upstream ->
                upstream.startedAtMillis() >= sinceMillis && !changes.includes(upstream.id()));
  }

  /** Asks all upstreams of a pool what they run, unless they were asked a moment ago. */
  private CompletableFuture<Void> askUpstreams(String pool) {
    CompletableFuture<Void> inProgress = runsInProgress.get(pool);
    if (inProgress != null) {
      return inProgress;
    }
    long now = System.nanoTime();
    Long askedNanos = askedNanosByPool.get(pool);
    ImmutableList<RegisteredUpstream> upstreams = fleet.versions().registered(pool);
    if (upstreams.size() > MAX_UPSTREAMS
        || (askedNanos != null && now - askedNanos < RUNS_INTERVAL_NANOS)) {
      return CompletableFuture.completedFuture(null);
    }
    askedNanosByPool.put(pool, now);
    CompletableFuture<Void> finished =
        CompletableFuture.allOf(
                upstreams.stream().map(this::askUpstream).toArray(CompletableFuture[]::new))
            .completeOnTimeout(null, RUNS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    runsInProgress.put(pool, finished);
    CompletionStage<Void> end = finished;
    end.whenComplete((done, failure) -> loop.execute(() -> upstreamsAsked(pool, upstreams.size())));
    return finished;
  }

  private void upstreamsAsked(String pool, int count) {
    runsInProgress.remove(pool);
    log.write(
        LogEvent.UPSTREAM_RUNS_READ,
        "pool=" + pool + " upstreams=" + count + " requests=" + runs.size());
  }

  private CompletableFuture<Void> askUpstream(RegisteredUpstream upstream) {
    CompletionStage<UpstreamRuns.Report> answer = upstreamRuns.fetch(upstream);
    return answer
        .handleAsync(
            (report, failure) -> {
              if (failure == null) {
                applyReport(upstream, report);
              } else {
                log.write(
                    LogEvent.UPSTREAM_RUNS_UNKNOWN,
                    "upstream=" + upstream.id() + " cause=" + failure);
              }
              return (Void) null;
            },
            loop)
        .toCompletableFuture();
  }

  private void applyReport(RegisteredUpstream upstream, UpstreamRuns.Report report) {
    // A process that started later may be of another version than the registration.
    if (report.startedAtMillis() != upstream.startedAtMillis()) {
      log.write(
          LogEvent.UPSTREAM_RUNS_UNKNOWN,
          "upstream="
              + upstream.id()
              + " cause=process started at "
              + report.startedAtMillis()
              + ", registered is "
              + upstream.startedAtMillis());
      return;
    }
    long now = System.nanoTime();
    for (UpstreamRuns.Run run : report.runs()) {
      if (run.eventCount() > 0) {
        runs.recorded(
            new StreamOrigins.Origin(run.request(), upstream.pool(), upstream.softwareVersion()),
            now);
      }
    }
  }
}
