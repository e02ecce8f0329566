package org.cranberrystand.daemon.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.MonotonicClock;
import ratpack.exec.Promise;

/** Tracks and cancels the running requests of a node. Safe for use by several threads. */
final class RunningRequests {
  private final Map<RequestId, RunningRequest> byId = new ConcurrentHashMap<>();
  private final SchedulerLoop scheduler;
  private final UpstreamHttpClient engineClient;
  private final MonotonicClock clock;

  RunningRequests(SchedulerLoop scheduler, UpstreamHttpClient engineClient, MonotonicClock clock) {
    this.scheduler = scheduler;
    this.engineClient = engineClient;
    this.clock = clock;
  }

  void add(RunningRequest running) {
    byId.put(running.request().id(), running);
    var unused =
        running.reply().whenComplete((reply, cause) -> removeUnlessStreamed(running, reply));
  }

  private void removeUnlessStreamed(RunningRequest running, Reply reply) {
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

  /**
   * Handles the disconnection of one caller of a request. May be called outside an execution.
   *
   * @param running the request
   * @param exec runs the cancellation
   */
  void callerDisconnected(RunningRequest running, ratpack.exec.ExecController exec) {
    if (!running.removeCaller()) {
      return;
    }
    if (running.request().kind().isCancelOnDisconnect()) {
      exec.fork().start(execution -> cancel(running).then(cancelled -> {}));
    } else {
      notifyScheduler(running);
    }
  }

  /**
   * Cancels a request.
   *
   * @param running the request
   * @return whether the request was queued or its stream was cancelled
   */
  Promise<Boolean> cancel(RunningRequest running) {
    // Must precede the notification: the scheduler would reject the request, and there would be
    // nothing left to cancel.
    boolean wasQueued = running.cancelQueued();
    notifyScheduler(running);
    return wasQueued ? Promise.value(true) : cancelAtEngine(running);
  }

  /**
   * Cancels the stream of a request at its engine. Concurrent calls share one call to the engine.
   *
   * @param running the request
   * @return whether the stream was cancelled
   */
  Promise<Boolean> cancelAtEngine(RunningRequest running) {
    RunningStream stream = running.stream();
    if (stream == null || stream.streamId() == null) {
      return Promise.value(false);
    }
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    CompletableFuture<Boolean> earlier = running.registerCancellation(result);
    if (earlier != null) {
      return Promise.toPromise(earlier.copy());
    }
    stream.relay().cancelResuming();
    return engineClient
        .cancel(stream.address(), stream.streamId())
        .mapError(cause -> false)
        .wiretap(cancelled -> result.complete(cancelled.getValue()));
  }

  private void notifyScheduler(RunningRequest running) {
    scheduler.feed(new SchedulerEvent.CallerGone(running.key(), clock.nowNanos()));
  }
}
