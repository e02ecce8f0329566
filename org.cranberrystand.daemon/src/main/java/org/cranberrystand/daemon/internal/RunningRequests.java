package org.cranberrystand.daemon.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.MonotonicClock;
import ratpack.exec.Promise;

/** The requests that a node is running, and their cancellation. Safe for several threads. */
final class RunningRequests {
  private final Map<RequestId, RunningRequest> byId = new ConcurrentHashMap<>();
  private final SchedulerLoop scheduler;
  private final UpstreamHttpClient engines;
  private final MonotonicClock clock;

  RunningRequests(SchedulerLoop scheduler, UpstreamHttpClient engines, MonotonicClock clock) {
    this.scheduler = scheduler;
    this.engines = engines;
    this.clock = clock;
  }

  void add(RunningRequest running) {
    byId.put(running.request().id(), running);
    var unused = running.reply().whenComplete((reply, cause) -> removeIfWhole(running, reply));
  }

  private void removeIfWhole(RunningRequest running, Reply reply) {
    if (!(reply instanceof Reply.Streamed)) {
      remove(running);
    }
  }

  void remove(RunningRequest running) {
    byId.remove(running.request().id(), running);
  }

  Optional<RunningRequest> find(RequestId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Tells that one caller of a request disconnected. Needs no execution. */
  void callerLeft(RunningRequest running, ratpack.exec.ExecController exec) {
    if (!running.removeCaller()) {
      return;
    }
    if (running.request().kind().isCancelOnDisconnect()) {
      exec.fork().start(execution -> cancel(running).then(cancelled -> {}));
    } else {
      tellScheduler(running);
    }
  }

  /**
   * Cancels a request.
   *
   * @param running the request
   * @return whether it was queued or its stream was cancelled
   */
  Promise<Boolean> cancel(RunningRequest running) {
    // Before the scheduler is told: its rejection would otherwise look like nothing to cancel.
    boolean wasQueued = running.cancelQueued();
    tellScheduler(running);
    return wasQueued ? Promise.value(true) : cancelAtEngine(running);
  }

  /**
   * Cancels the stream of a request. Several calls at once share one call to the engine.
   *
   * @param running the request
   * @return whether its stream was cancelled
   */
  Promise<Boolean> cancelAtEngine(RunningRequest running) {
    RunningStream stream = running.stream();
    if (stream == null || stream.streamId() == null) {
      return Promise.value(false);
    }
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    CompletableFuture<Boolean> earlier = running.shareCancellation(result);
    if (earlier != null) {
      return Promise.toPromise(earlier.copy());
    }
    stream.relay().cancelResuming();
    return engines
        .cancel(stream.address(), stream.streamId())
        .mapError(cause -> false)
        .wiretap(cancelled -> result.complete(cancelled.getValue()));
  }

  private void tellScheduler(RunningRequest running) {
    scheduler.feed(new SchedulerEvent.CallerGone(running.key(), clock.nowNanos()));
  }
}
