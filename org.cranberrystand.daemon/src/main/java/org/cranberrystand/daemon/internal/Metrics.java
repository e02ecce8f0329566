package org.cranberrystand.daemon.internal;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.identity.RequestLedger;

/** Measurements of one node in the Prometheus format. Safe for use by several threads. */
public final class Metrics implements AutoCloseable {
  private static final String PREFIX = "cranberrystand.";
  // Dense near the targets of 1.7 s for the first token and 74 ms between tokens.
  private static final Duration[] FIRST_TOKEN_BOUNDS =
      millis(20, 50, 100, 200, 400, 800, 1200, 1700, 2500, 5000, 10_000, 30_000, 120_000);
  private static final Duration[] TOKEN_GAP_BOUNDS =
      millis(5, 10, 20, 30, 40, 50, 60, 74, 100, 150, 250, 500, 1000, 5000);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<Tier, AtomicInteger> queued = new EnumMap<>(Tier.class);
  private final Map<Tier, AtomicInteger> running = new EnumMap<>(Tier.class);
  private final Map<Tier, Timer> firstToken = new EnumMap<>(Tier.class);
  private final Map<Tier, Timer> tokenGap = new EnumMap<>(Tier.class);

  /**
   * Creates the measurements of a node.
   *
   * @param ledger is read when the measurements are
   */
  public Metrics(RequestLedger ledger) {
    new JvmMemoryMetrics().bindTo(registry);
    Gauge.builder(PREFIX + "ledger.entries", ledger, RequestLedger::size).register(registry);
    Gauge.builder(PREFIX + "ledger.answers", ledger, RequestLedger::answerBytes)
        .baseUnit("bytes")
        .register(registry);
    for (Tier tier : Tier.values()) {
      queued.put(tier, gauge("queued.requests", tier));
      running.put(tier, gauge("running.requests", tier));
      firstToken.put(tier, timer("first.token", tier, FIRST_TOKEN_BOUNDS));
      tokenGap.put(tier, timer("token.gap", tier, TOKEN_GAP_BOUNDS));
    }
  }

  /**
   * Counts a request that ended.
   *
   * @param kind the kind of work
   * @param outcome the label of the outcome
   */
  public void countEnded(WorkKind kind, String outcome) {
    Counter.builder(PREFIX + "requests")
        .tag("kind", kind.name())
        .tag("tier", kind.tier().label())
        .tag("outcome", outcome)
        .register(registry)
        .increment();
  }

  /**
   * Sets how many requests of a tier wait and run.
   *
   * @param tier the tier
   * @param queuedRequests the number of waiting requests
   * @param runningRequests the number of dispatched requests
   */
  public void setLoad(Tier tier, int queuedRequests, int runningRequests) {
    queued.get(tier).set(queuedRequests);
    running.get(tier).set(runningRequests);
  }

  /**
   * Records the time from arrival to first token.
   *
   * @param tier the tier of the request
   * @param delay the time
   */
  public void recordFirstToken(Tier tier, Duration delay) {
    firstToken.get(tier).record(delay);
  }

  /**
   * Records the time between two tokens.
   *
   * @param tier the tier of the request
   * @param gap the time
   */
  public void recordTokenGap(Tier tier, Duration gap) {
    tokenGap.get(tier).record(gap);
  }

  /**
   * Returns all measurements.
   *
   * @return the text in the Prometheus exposition format
   */
  public String scrape() {
    return registry.scrape();
  }

  @Override
  public void close() {
    registry.close();
  }

  private AtomicInteger gauge(String name, Tier tier) {
    AtomicInteger value = new AtomicInteger();
    Gauge.builder(PREFIX + name, value, AtomicInteger::get)
        .tag("tier", tier.label())
        .register(registry);
    return value;
  }

  private Timer timer(String name, Tier tier, Duration[] bounds) {
    return Timer.builder(PREFIX + name)
        .tag("tier", tier.label())
        .serviceLevelObjectives(bounds)
        .register(registry);
  }

  private static Duration[] millis(long... values) {
    return java.util.Arrays.stream(values).mapToObj(Duration::ofMillis).toArray(Duration[]::new);
  }
}
