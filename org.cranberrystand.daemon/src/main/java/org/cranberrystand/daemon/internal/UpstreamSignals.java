package org.cranberrystand.daemon.internal;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.util.SerialExecutor;

/**
 * Joins the VM list with what upstreams themselves say about leaving.
 *
 * <p>The first signal is sufficient. It is withdrawn when the upstream reports, with figures that
 * are newer than the signal, that it is not draining. Safe for use by several threads.
 */
public final class UpstreamSignals {
  private final NodeState state;
  private final Consumer<UpstreamDirectory> onDirectory;
  private final Map<String, Long> leavingSinceNanos = new ConcurrentHashMap<>();
  private final SerialExecutor publications;
  private UpstreamDirectory published = UpstreamDirectory.empty();

  /**
   * Creates signals.
   *
   * @param state holds the upstreams of the VM list
   * @param onDirectory receives each change, one at a time
   * @param log receives failures of the receiver
   */
  public UpstreamSignals(NodeState state, Consumer<UpstreamDirectory> onDirectory, EventLog log) {
    this.state = state;
    this.onDirectory = onDirectory;
    this.publications =
        new SerialExecutor(
            cause -> log.write(LogEvent.TASK_FAILED, "task=upstream-signals", cause));
  }

  /** Reads the VM list again after it changed. */
  public void directoryChanged() {
    publications.execute(this::publish);
  }

  /**
   * Marks an upstream as leaving because it refused a request.
   *
   * @param upstream the name of the upstream
   */
  public void refused(String upstream) {
    mark(upstream);
  }

  /**
   * Takes note of a load report.
   *
   * @param upstream the name of the upstream
   * @param draining whether it is leaving
   * @param observedAtNanos when its figures were taken, on the clock of the node
   */
  public void reported(String upstream, boolean draining, long observedAtNanos) {
    if (draining) {
      mark(upstream);
      return;
    }
    Long since = leavingSinceNanos.get(upstream);
    if (since != null && observedAtNanos - since > 0 && leavingSinceNanos.remove(upstream, since)) {
      publications.execute(this::publish);
    }
  }

  private void mark(String upstream) {
    if (leavingSinceNanos.put(upstream, state.clock().nowNanos()) == null) {
      publications.execute(this::publish);
    }
  }

  private void publish() {
    UpstreamDirectory listed = state.directory().get();
    leavingSinceNanos.keySet().removeIf(name -> listed.find(name).isEmpty());
    UpstreamDirectory joined =
        UpstreamDirectory.of(listed.all().stream().map(this::withSignal).toList());
    if (!joined.all().equals(published.all())) {
      published = joined;
      onDirectory.accept(joined);
    }
  }

  private UpstreamRecord withSignal(UpstreamRecord record) {
    return leavingSinceNanos.containsKey(record.name()) ? record.asLeaving() : record;
  }
}
