package org.cranberrystand.daemon.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.routing.Route;

/** Measurements of a gateway in the Prometheus format. Safe for use by several threads. */
final class GatewayMetrics {
  private static final String PREFIX = "cranberrystand.gateway.";

  /** Around the usual targets of first answers. */
  private static final Duration[] FIRST_ANSWER_BOUNDS = {
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(1000),
    Duration.ofMillis(2000),
    Duration.ofMillis(5000)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final AtomicInteger waiting = gauge("requests.waiting");
  private final AtomicInteger running = gauge("requests.running");
  private final AtomicInteger connections = gauge("caller.connections");
  private final AtomicInteger nodes = gauge("nodes");
  private final Map<String, Counter> outcomes = new HashMap<>();
  private final Map<String, Timer> firstAnswers = new HashMap<>();

  private AtomicInteger gauge(String name) {
    AtomicInteger value = new AtomicInteger();
    Gauge.builder(PREFIX + name, value, AtomicInteger::get).register(registry);
    return value;
  }

  void setLoad(int waitingRequests, int runningRequests, int callerConnections, int nodeCount) {
    waiting.set(waitingRequests);
    running.set(runningRequests);
    connections.set(callerConnections);
    nodes.set(nodeCount);
  }

  /** Counts an ended request; called on the event loop only. */
  void ended(Route route, String outcome, long arrivalNanos, long firstNanos, long endNanos) {
    String kind = route.kind().name();
    outcomes.computeIfAbsent(kind + ' ' + outcome, k -> counter(kind, outcome)).increment();
    if (firstNanos != 0) {
      firstAnswers
          .computeIfAbsent(kind, this::firstAnswerTimer)
          .record(Duration.ofNanos(Math.min(firstNanos, endNanos) - arrivalNanos));
    }
  }

  /** Counts a request that was not admitted; called on the event loop only. */
  void denied(int status) {
    String outcome = "status-" + status;
    outcomes.computeIfAbsent(outcome, k -> counter("none", outcome)).increment();
  }

  private Counter counter(String kind, String outcome) {
    return Counter.builder(PREFIX + "requests")
        .tag("kind", kind)
        .tag("outcome", outcome)
        .register(registry);
  }

  private Timer firstAnswerTimer(String kind) {
    return Timer.builder(PREFIX + "first.answer")
        .tag("kind", kind)
        .serviceLevelObjectives(FIRST_ANSWER_BOUNDS)
        .register(registry);
  }

  String scrape() {
    return registry.scrape();
  }
}
