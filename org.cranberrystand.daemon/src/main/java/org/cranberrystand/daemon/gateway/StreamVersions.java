package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Range;
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

  /** The upstreams of a pool that were asked, and when. */
  private record Asked(long nanos, ImmutableSet<String> incarnations) {}

  /** A stream whose version is sought, for a request that resumes it. */
  private record Sought(
      String stream,
      Route route,
      String host,
      String path,
      long windowNanos,
      Consumer<StreamInference.Result> receiver) {}

  private final EventLoop loop;
  private final FleetState fleet;
  private final PublishedDecoder decoder;
  private final long historyMillis;
  private final EventLog log;
  private final StreamRuns runs = new StreamRuns();
  private final Map<String, Asked> askedByPool = new HashMap<>();
  private PublishedStore store;
  private UpstreamRuns upstreamRuns;
  private StateConfirmation confirmation;
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
  void setClients(
      PublishedStore storeClient, UpstreamRuns runsClient, StateConfirmation stateConfirmation) {
    store = storeClient;
    upstreamRuns = runsClient;
    confirmation = stateConfirmation;
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
    Sought sought =
        new Sought(
            stream,
            route,
            host,
            path,
            TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis() + REMOVAL_LAG_MILLIS),
            receiver);
    List<CompletableFuture<Void>> steps = new ArrayList<>(askUpstreams(route));
    steps.add(readHistory(sought.windowNanos()));
    afterAll(
        steps,
        () -> {
          StreamInference.Result result = infer(sought, false);
          if (result.basis() == StreamInference.Basis.HISTORY_NOT_CONFIRMED) {
            confirmation.confirm(isConfirmed -> inferConfirmed(sought, isConfirmed));
          } else {
            finish(sought, result);
          }
        });
  }

  /** Infers once more, with the upstreams that registered until the state was confirmed. */
  private void inferConfirmed(Sought sought, boolean isConfirmed) {
    afterAll(askUpstreams(sought.route()), () -> finish(sought, infer(sought, isConfirmed)));
  }

  private void afterAll(List<CompletableFuture<Void>> steps, Runnable action) {
    CompletionStage<Void> all = CompletableFuture.allOf(steps.toArray(CompletableFuture[]::new));
    all.whenComplete((done, failure) -> loop.execute(action));
  }

  private StreamInference.Result infer(Sought sought, boolean isConfirmed) {
    return StreamInference.infer(
        sought.stream(),
        runs.origins(sought.stream()),
        solePool(sought),
        versionsServed(sought),
        isConfirmed);
  }

  private Optional<String> solePool(Sought sought) {
    return fleet
        .routes()
        .solePool(sought.host(), sought.path(), sought.windowNanos(), System.nanoTime());
  }

  private Optional<ImmutableSet<String>> versionsServed(Sought sought) {
    return solePool(sought)
        .flatMap(
            pool -> fleet.versions().versionsServed(pool, sought.windowNanos(), System.nanoTime()));
  }

  private void finish(Sought sought, StreamInference.Result result) {
    pendingCount--;
    log.write(
        LogEvent.STREAM_INFERRED,
        "stream="
            + LoggedText.of(sought.stream())
            + " basis="
            + result.basis()
            + " origin="
            + result.origin()
            + " pool="
            + solePool(sought)
            + " versions="
            + versionsServed(sought)
            + " window_ms="
            + TimeUnit.NANOSECONDS.toMillis(sought.windowNanos())
            + " version="
            + fleet.published().version());
    sought.receiver().accept(result);
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
    // A start in the future is false, and says nothing about the age of the registration.
    Range<Long> lateStartsMillis =
        Range.closed(sinceMillis, System.currentTimeMillis() + CLOCK_DIFFERENCE_MILLIS);
    return fleet.versions().registered().stream()
        .filter(upstream -> lateStartsMillis.contains(upstream.startedAtMillis()))
        .anyMatch(upstream -> !changes.includes(upstream.id()));
  }

  private List<CompletableFuture<Void>> askUpstreams(Route route) {
    return route.pools().stream().map(pool -> askUpstreams(pool.pool())).toList();
  }

  /** Asks the upstreams of a pool what they run, except those that were asked a moment ago. */
  private CompletableFuture<Void> askUpstreams(String pool) {
    CompletableFuture<Void> inProgress =
        runsInProgress.getOrDefault(pool, CompletableFuture.completedFuture(null));
    ImmutableList<RegisteredUpstream> upstreams = fleet.versions().registered(pool);
    ImmutableList<RegisteredUpstream> due = due(pool, upstreams);
    if (upstreams.size() > MAX_UPSTREAMS || due.isEmpty()) {
      return inProgress;
    }
    CompletableFuture<Void> asked =
        CompletableFuture.allOf(
                due.stream().map(this::askUpstream).toArray(CompletableFuture[]::new))
            .completeOnTimeout(null, RUNS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    CompletableFuture<Void> finished = CompletableFuture.allOf(inProgress, asked);
    runsInProgress.put(pool, finished);
    CompletionStage<Void> end = finished;
    end.whenComplete(
        (done, failure) -> loop.execute(() -> upstreamsAsked(pool, finished, due.size())));
    return finished;
  }

  /**
   * Returns the upstreams of a pool that were not asked a moment ago, and records them as asked.
   */
  private ImmutableList<RegisteredUpstream> due(
      String pool, ImmutableList<RegisteredUpstream> upstreams) {
    long now = System.nanoTime();
    Asked last = askedByPool.get(pool);
    boolean isRecent = last != null && now - last.nanos() < RUNS_INTERVAL_NANOS;
    askedByPool.put(
        pool,
        new Asked(
            isRecent ? last.nanos() : now,
            upstreams.stream()
                .map(RegisteredUpstream::incarnationKey)
                .collect(ImmutableSet.toImmutableSet())));
    return isRecent
        ? upstreams.stream()
            .filter(upstream -> !last.incarnations().contains(upstream.incarnationKey()))
            .collect(ImmutableList.toImmutableList())
        : upstreams;
  }

  private void upstreamsAsked(String pool, CompletableFuture<Void> finished, int count) {
    runsInProgress.remove(pool, finished);
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
