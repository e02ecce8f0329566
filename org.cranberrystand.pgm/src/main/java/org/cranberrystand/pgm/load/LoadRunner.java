package org.cranberrystand.pgm.load;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.cranberrystand.util.MonotonicClock;

/**
 * Sends a planned load to a fleet.
 *
 * <p>Requests are sent when the plan says so, however many are still unanswered, and delays are
 * counted from the planned time. Use one instance per load.
 */
public final class LoadRunner {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final Duration POLL = Duration.ofMillis(10);

  private final LoadOptions options;
  private final LoadResults tiers = new LoadResults();
  private final LoadResults teams = new LoadResults();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final MonotonicClock clock = MonotonicClock.system();
  private volatile boolean ended;

  /**
   * Creates a runner.
   *
   * @param options the load
   */
  public LoadRunner(LoadOptions options) {
    this.options = options;
  }

  /**
   * Sends the load and waits for the answers.
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
      return send(new RequestSender(http, directory, options), directory);
    } finally {
      ended = true;
    }
  }

  private LoadReport send(RequestSender sender, FleetDirectory directory)
      throws InterruptedException {
    ArrivalPlan plan =
        new ArrivalPlan(
            options.classes(),
            options.floods(),
            options.ratePerSecond(),
            options.duration().toNanos() / NANOS_PER_SECOND,
            options.seed());
    long start = clock.nowNanos();
    long arrived = 0;
    long maxDelayNanos = 0;
    for (ArrivalPlan.Arrival next = plan.next(); next != null; next = plan.next()) {
      long plannedNanos = start + (long) (next.atSeconds() * NANOS_PER_SECOND);
      waitUntil(plannedNanos);
      maxDelayNanos = Math.max(maxDelayNanos, clock.nowNanos() - plannedNanos);
      arrived++;
      start(sender, next, plannedNanos);
    }
    awaitAnswers();
    ended = true;
    return new LoadReport(
        options.seed(),
        options.ratePerSecond(),
        options.duration().toNanos() / NANOS_PER_SECOND,
        arrived,
        maxDelayNanos / NANOS_PER_MILLI,
        directory.callCount(),
        tiers.summaries(options.duration()),
        teams.summaries(options.duration()));
  }

  private void start(RequestSender sender, ArrivalPlan.Arrival arrival, long plannedNanos) {
    RequestClass requestClass = arrival.requestClass();
    Recorder recorder = new Recorder(requestClass, plannedNanos);
    recorder.arrived();
    if (inFlight.incrementAndGet() > options.maxInFlight()) {
      recorder.ended("not-sent-client-limit");
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
    long deadline = clock.nowNanos() + options.grace().toNanos();
    while (inFlight.get() > 0 && clock.nowNanos() < deadline) {
      Thread.sleep(POLL.toMillis());
    }
  }

  /** Records what happens to one request. Used by one thread at a time. */
  final class Recorder {
    private final RequestClass requestClass;
    private final long plannedNanos;
    private long firstTokenNanos;
    private long lastTokenNanos;

    private Recorder(RequestClass requestClass, long plannedNanos) {
      this.requestClass = requestClass;
      this.plannedNanos = plannedNanos;
    }

    private void arrived() {
      tiers.arrived(requestClass.tier());
      teams.arrived(requestClass.team());
    }

    void resent() {
      if (!ended) {
        tiers.resent(requestClass.tier());
        teams.resent(requestClass.team());
      }
    }

    void token() {
      long now = clock.nowNanos();
      if (ended) {
        return;
      }
      tiers.token(requestClass.tier());
      teams.token(requestClass.team());
      if (firstTokenNanos == 0) {
        firstTokenNanos = now;
        tiers.firstToken(requestClass.tier(), now - plannedNanos);
        teams.firstToken(requestClass.team(), now - plannedNanos);
      } else {
        tiers.tokenGap(requestClass.tier(), now - lastTokenNanos);
        teams.tokenGap(requestClass.team(), now - lastTokenNanos);
      }
      lastTokenNanos = now;
    }

    void ended(String outcome) {
      if (!ended) {
        record(outcome);
      }
      // Last, because the report is made once nothing is in flight.
      inFlight.decrementAndGet();
    }

    private void record(String outcome) {
      boolean inTime =
          outcome.equals(RequestSender.ANSWERED)
              && firstTokenNanos - plannedNanos
                  <= Duration.ofMillis(requestClass.deadlineMillis()).toNanos();
      tiers.ended(requestClass.tier(), outcome, inTime);
      teams.ended(requestClass.team(), outcome, inTime);
    }
  }
}
