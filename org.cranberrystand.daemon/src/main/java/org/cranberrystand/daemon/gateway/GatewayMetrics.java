package org.cranberrystand.daemon.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cranberrystand.routing.Route;

/** Metrics of a gateway in the Prometheus format. Thread-safe, except where stated. */
final class GatewayMetrics {
  private static final String PREFIX = "cranberrystand.gateway.";

  /** Bucket bounds around the usual latency targets of routes. */
  private static final Duration[] FIRST_RESPONSE_BOUNDS = {
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
  private final AtomicInteger limitedUpstreams = gauge("upstreams.limited");
  private final AtomicInteger coldUpstreams = gauge("upstreams.cold");
  private final AtomicInteger quarantined = gauge("content.quarantined");
  private final AtomicInteger unreachablePools = gauge("pools.unreachable");
  private final AtomicInteger evacuatedDomains = gauge("domains.evacuated");
  private final AtomicLong callerMemoryBytes =
      registry.gauge(PREFIX + "caller.memory.bytes", new AtomicLong());
  private final AtomicLong memoryRefusals = counter("caller.memory.refused");
  private final AtomicLong memoryCloses = counter("caller.memory.closed");
  private final AtomicLong responseBytes = new AtomicLong();
  private final Map<String, Counter> outcomes = new HashMap<>();
  private final Map<String, Counter> hedges = new HashMap<>();
  private final Map<String, Timer> firstResponseTimers = new HashMap<>();

  GatewayMetrics() {
    Gauge.builder(PREFIX + "answers.memory", responseBytes, AtomicLong::get)
        .baseUnit("bytes")
        .register(registry);
  }

  /** Has the metrics show how much is kept of what was published. */
  void observePublished(Supplier<PublishedState> published) {
    Gauge.builder(PREFIX + "published.values", () -> published.get().values().size())
        .register(registry);
    Gauge.builder(PREFIX + "published.characters", () -> published.get().characterCount())
        .register(registry);
  }

  private AtomicInteger gauge(String name) {
    AtomicInteger value = new AtomicInteger();
    Gauge.builder(PREFIX + name, value, AtomicInteger::get).register(registry);
    return value;
  }

  private AtomicLong counter(String name) {
    AtomicLong value = new AtomicLong();
    FunctionCounter.builder(PREFIX + name, value, AtomicLong::get).register(registry);
    return value;
  }

  /** Sets the memory in use by callers, and what was refused and closed so far for want of it. */
  void setCallerMemory(CallerMemory memory) {
    callerMemoryBytes.set(memory.usedBytes());
    memoryRefusals.set(memory.refusedCount());
    memoryCloses.set(memory.closedCount());
  }

  void setLoad(int waitingRequests, int runningRequests, int callerConnections, int nodeCount) {
    waiting.set(waitingRequests);
    running.set(runningRequests);
    connections.set(callerConnections);
    nodes.set(nodeCount);
  }

  void setLimitedUpstreams(int count) {
    limitedUpstreams.set(count);
  }

  void setColdUpstreams(int count) {
    coldUpstreams.set(count);
  }

  void setQuarantined(int count) {
    quarantined.set(count);
  }

  void setUnreachablePools(int count) {
    unreachablePools.set(count);
  }

  void setEvacuatedDomains(int count) {
    evacuatedDomains.set(count);
  }

  /** Sets the memory that incomplete responses of upstreams take, in bytes. */
  void setResponseBytes(long bytes) {
    responseBytes.set(bytes);
  }

  /** Records a finished request; must be called on the event loop. */
  void recordEnded(
      Route route, String outcome, long arrivalNanos, long firstResponseNanos, long endNanos) {
    String kind = route.kind().name();
    outcomes.computeIfAbsent(kind + ' ' + outcome, k -> counter(kind, outcome)).increment();
    if (firstResponseNanos != 0) {
      firstResponseTimers
          .computeIfAbsent(kind, this::firstResponseTimer)
          .record(Duration.ofNanos(Math.min(firstResponseNanos, endNanos) - arrivalNanos));
    }
  }

  /** Records what became of a hedge; must be called on the event loop. */
  void recordHedge(String outcome) {
    hedges
        .computeIfAbsent(
            outcome, o -> Counter.builder(PREFIX + "hedges").tag("outcome", o).register(registry))
        .increment();
  }

  /** Records a request that was not admitted; must be called on the event loop. */
  void recordRejected(int status) {
    String outcome = "status-" + status;
    outcomes.computeIfAbsent(outcome, k -> counter("none", outcome)).increment();
  }

  private Counter counter(String kind, String outcome) {
    return Counter.builder(PREFIX + "requests")
        .tag("kind", kind)
        .tag("outcome", outcome)
        .register(registry);
  }

  private Timer firstResponseTimer(String kind) {
    return Timer.builder(PREFIX + "first.answer")
        .tag("kind", kind)
        .serviceLevelObjectives(FIRST_RESPONSE_BOUNDS)
        .register(registry);
  }

  String scrape() {
    return registry.scrape();
  }
}
