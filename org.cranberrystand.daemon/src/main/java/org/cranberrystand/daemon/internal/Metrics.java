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

/** Metrics of one node in the Prometheus format. Safe for use by several threads. */
public final class Metrics implements AutoCloseable {
  private static final String PREFIX = "cranberrystand.";
  // Histogram buckets, dense near the targets of 1.7 s to the first token and 74 ms between tokens.
  private static final Duration[] FIRST_TOKEN_BUCKETS =
      millis(20, 50, 100, 200, 400, 800, 1200, 1700, 2500, 5000, 10_000, 30_000, 120_000);
  private static final Duration[] TOKEN_GAP_BUCKETS =
      millis(5, 10, 20, 30, 40, 50, 60, 74, 100, 150, 250, 500, 1000, 5000);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<Tier, AtomicInteger> queuedByTier = new EnumMap<>(Tier.class);
  private final Map<Tier, AtomicInteger> runningByTier = new EnumMap<>(Tier.class);
  private final Map<Tier, Timer> firstTokenByTier = new EnumMap<>(Tier.class);
  private final Map<Tier, Timer> tokenGapByTier = new EnumMap<>(Tier.class);

  /**
   * Registers the metrics of a node.
   *
   * @param ledger the request ledger, whose size is read at each scrape
   */
  public Metrics(RequestLedger ledger) {
    new JvmMemoryMetrics().bindTo(registry);
    Gauge.builder(PREFIX + "ledger.entries", ledger, RequestLedger::size).register(registry);
    Gauge.builder(PREFIX + "ledger.answers", ledger, RequestLedger::answerBytes)
        .baseUnit("bytes")
        .register(registry);
    for (Tier tier : Tier.values()) {
      queuedByTier.put(tier, registerGauge("queued.requests", tier));
      runningByTier.put(tier, registerGauge("running.requests", tier));
      firstTokenByTier.put(tier, registerTimer("first.token", tier, FIRST_TOKEN_BUCKETS));
      tokenGapByTier.put(tier, registerTimer("token.gap", tier, TOKEN_GAP_BUCKETS));
    }
  }

  /**
   * Increments the counter of ended requests.
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
   * Sets the numbers of queued and running requests of a tier.
   *
   * @param tier the tier
   * @param queuedRequests the number of queued requests
   * @param runningRequests the number of dispatched requests
   */
  public void setLoad(Tier tier, int queuedRequests, int runningRequests) {
    queuedByTier.get(tier).set(queuedRequests);
    runningByTier.get(tier).set(runningRequests);
  }

  /**
   * Records the time from the arrival of a request to its first token.
   *
   * @param tier the tier of the request
   * @param delay the time to the first token
   */
  public void recordFirstToken(Tier tier, Duration delay) {
    firstTokenByTier.get(tier).record(delay);
  }

  /**
   * Records the time between two consecutive tokens.
   *
   * @param tier the tier of the request
   * @param gap the time between the tokens
   */
  public void recordTokenGap(Tier tier, Duration gap) {
    tokenGapByTier.get(tier).record(gap);
  }

  /**
   * Returns all metrics.
   *
   * @return the metrics in the Prometheus exposition format
   */
  public String scrape() {
    return registry.scrape();
  }

  @Override
  public void close() {
    registry.close();
  }

  private AtomicInteger registerGauge(String name, Tier tier) {
    AtomicInteger value = new AtomicInteger();
    Gauge.builder(PREFIX + name, value, AtomicInteger::get)
        .tag("tier", tier.label())
        .register(registry);
    return value;
  }

  private Timer registerTimer(String name, Tier tier, Duration[] buckets) {
    return Timer.builder(PREFIX + name)
        .tag("tier", tier.label())
        .serviceLevelObjectives(buckets)
        .register(registry);
  }

  private static Duration[] millis(long... values) {
    return java.util.Arrays.stream(values).mapToObj(Duration::ofMillis).toArray(Duration[]::new);
  }
}
