package org.cranberrystand.pgm.load;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.cranberrystand.util.MonotonicClock;

/**
 * Runs an open-loop load against a fleet.
 *
 * <p>Requests are sent at their planned times, independently of the number of unanswered ones, and
 * latencies count from the planned time. An instance runs one load.
 */
public final class LoadRunner {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

  private final LoadOptions options;
  private final LoadStatistics tiers = new LoadStatistics();
  private final LoadStatistics teams = new LoadStatistics();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final MonotonicClock clock = MonotonicClock.system();
  private volatile boolean finished;

  /**
   * Creates a runner.
   *
   * @param options the parameters of the load
   */
  public LoadRunner(LoadOptions options) {
    this.options = options;
  }

  /**
   * Sends all planned requests and waits for the answers.
   *
   * @return the results
   * @throws InterruptedException if the thread is interrupted
   */
  public LoadReport run() throws InterruptedException {
    HttpClient http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    FleetDirectory directory = new FleetDirectory(options.addresses(), http, clock);
    try {
      return runPlan(new RequestSender(http, directory, options), directory);
    } finally {
      finished = true;
    }
  }

  private LoadReport runPlan(RequestSender sender, FleetDirectory directory)
      throws InterruptedException {
    ArrivalPlan plan =
        new ArrivalPlan(
            options.classes(),
            options.floods(),
            options.ratePerSecond(),
            options.duration().toNanos() / NANOS_PER_SECOND,
            options.seed());
    long startNanos = clock.nowNanos();
    long arrived = 0;
    long maxDelayNanos = 0;
    for (ArrivalPlan.Arrival next = plan.next(); next != null; next = plan.next()) {
      long plannedNanos = startNanos + (long) (next.atSeconds() * NANOS_PER_SECOND);
      waitUntil(plannedNanos);
      maxDelayNanos = Math.max(maxDelayNanos, clock.nowNanos() - plannedNanos);
      arrived++;
      startRequest(sender, next, plannedNanos);
    }
    awaitAnswers();
    finished = true;
    return new LoadReport(
        options.seed(),
        options.ratePerSecond(),
        options.duration().toNanos() / NANOS_PER_SECOND,
        arrived,
        maxDelayNanos / NANOS_PER_MILLI,
        directory.addressCallCount(),
        tiers.summaries(options.duration()),
        teams.summaries(options.duration()));
  }

  private void startRequest(RequestSender sender, ArrivalPlan.Arrival arrival, long plannedNanos) {
    RequestClass requestClass = arrival.requestClass();
    Recorder recorder = new Recorder(requestClass, plannedNanos);
    recorder.recordArrival();
    if (inFlight.incrementAndGet() > options.maxInFlight()) {
      recorder.recordEnd("not-sent-client-limit");
      return;
    }
    sender.send(arrival, recorder);
  }

  private void waitUntil(long nanos) throws InterruptedException {
    for (long left = nanos - clock.nowNanos(); left > 0; left = nanos - clock.nowNanos()) {
      LockSupport.parkNanos(left);
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
    }
  }

  private void awaitAnswers() throws InterruptedException {
    long deadlineNanos = clock.nowNanos() + options.grace().toNanos();
    while (inFlight.get() > 0 && clock.nowNanos() < deadlineNanos) {
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  /** Records the events of one request. Used by one thread at a time. */
  final class Recorder {
    private final RequestClass requestClass;
    private final long plannedNanos;
    private long firstTokenNanos;
    private long lastTokenNanos;

    private Recorder(RequestClass requestClass, long plannedNanos) {
      this.requestClass = requestClass;
      this.plannedNanos = plannedNanos;
    }

    private void recordArrival() {
      tiers.recordArrival(requestClass.tier());
      teams.recordArrival(requestClass.team());
    }

    void recordRetry() {
      if (!finished) {
        tiers.recordRetry(requestClass.tier());
        teams.recordRetry(requestClass.team());
      }
    }

    void recordToken() {
      long now = clock.nowNanos();
      if (finished) {
        return;
      }
      tiers.recordToken(requestClass.tier());
      teams.recordToken(requestClass.team());
      if (firstTokenNanos == 0) {
        firstTokenNanos = now;
        tiers.recordFirstToken(requestClass.tier(), now - plannedNanos);
        teams.recordFirstToken(requestClass.team(), now - plannedNanos);
      } else {
        tiers.recordTokenGap(requestClass.tier(), now - lastTokenNanos);
        teams.recordTokenGap(requestClass.team(), now - lastTokenNanos);
      }
      lastTokenNanos = now;
    }

    void recordEnd(String outcome) {
      if (!finished) {
        recordOutcome(outcome);
      }
      // Last, because the report is created as soon as no request is in flight.
      inFlight.decrementAndGet();
    }

    private void recordOutcome(String outcome) {
      boolean good =
          outcome.equals(RequestSender.ANSWERED)
              && firstTokenNanos - plannedNanos
                  <= Duration.ofMillis(requestClass.deadlineMillis()).toNanos();
      tiers.recordEnd(requestClass.tier(), outcome, good);
      teams.recordEnd(requestClass.team(), outcome, good);
    }
  }
}
