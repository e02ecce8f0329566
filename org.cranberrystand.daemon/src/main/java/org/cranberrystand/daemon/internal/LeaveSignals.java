package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.DrainTracker;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.util.SerialExecutor;

/**
 * Combines the signals that upstreams are leaving, and publishes the directory of upstreams with
 * the leaving ones marked.
 *
 * <p>Safe for use by several threads.
 */
public final class LeaveSignals {
  private static final int MAX_REPORTS = 32;

  private final MonotonicClock clock;
  private final DrainTracker tracker;
  private final SerialExecutor serial;
  private final AtomicReference<UpstreamDirectory> publishedDirectory;
  private volatile Consumer<UpstreamDirectory> onDirectoryChanged = directory -> {};
  private volatile Runnable onNewlyLeaving = () -> {};
  private UpstreamDirectory listedDirectory = UpstreamDirectory.empty();
  private volatile Snapshot snapshot = new Snapshot(0, ImmutableList.of());

  private record Snapshot(long atNanos, ImmutableList<DrainTracker.Report> reports) {}

  LeaveSignals(
      MonotonicClock clock, EventLog log, AtomicReference<UpstreamDirectory> publishedDirectory) {
    this.clock = clock;
    this.tracker = new DrainTracker(clock);
    this.publishedDirectory = publishedDirectory;
    this.serial = new SerialExecutor(t -> log.write(LogEvent.TASK_FAILED, "task=leaving", t));
  }

  /**
   * Sets the listeners for changes.
   *
   * @param directoryChanged receives each new directory
   * @param newlyLeaving called when an upstream starts to count as leaving
   */
  void setListeners(Consumer<UpstreamDirectory> directoryChanged, Runnable newlyLeaving) {
    this.onDirectoryChanged = directoryChanged;
    this.onNewlyLeaving = newlyLeaving;
  }

  /**
   * Applies a new VM list.
   *
   * @param directory the upstreams of the list
   */
  void applyVmList(UpstreamDirectory directory) {
    serial.execute(
        () -> {
          listedDirectory = directory;
          publish(
              tracker.vmListUpdated(
                  directory.all().stream()
                      .filter(UpstreamRecord::leaving)
                      .map(UpstreamRecord::name)
                      .toList()));
        });
  }

  /**
   * Applies the load report of an upstream.
   *
   * @param upstream the name of the upstream
   * @param draining whether the upstream reports that it is leaving
   * @param observedAtNanos the time of the report's figures, on the clock of the node
   */
  public void applyLoadReport(String upstream, boolean draining, long observedAtNanos) {
    serial.execute(() -> publish(tracker.loadReported(upstream, draining, observedAtNanos)));
  }

  /**
   * Records that an upstream refused a request because it is leaving.
   *
   * @param upstream the name of the upstream
   */
  public void recordRefusal(String upstream) {
    serial.execute(() -> publish(tracker.refused(upstream)));
  }

  void applyPeerReports(List<DrainTracker.Report> peerReports) {
    if (!peerReports.isEmpty()) {
      serial.execute(
          () -> {
            boolean newlyLeaving = false;
            for (DrainTracker.Report report : peerReports) {
              newlyLeaving |= tracker.reportedByPeer(report);
            }
            publish(newlyLeaving);
          });
    }
  }

  /** Removes expired signals; called each second. */
  void expire() {
    serial.execute(
        () -> {
          tracker.expire();
          publish(false);
        });
  }

  /**
   * Returns the reports to send in digests.
   *
   * <p>Ages are computed at the time of the call: with an outdated age, each hop would renew a
   * report and it would never expire.
   *
   * @return the upstreams that were leaving at the last change or expiry
   */
  ImmutableList<DrainTracker.Report> reports() {
    Snapshot current = snapshot;
    long elapsedNanos = clock.nowNanos() - current.atNanos();
    return current.reports().stream()
        .map(report -> new DrainTracker.Report(report.upstream(), report.ageNanos() + elapsedNanos))
        .collect(ImmutableList.toImmutableList());
  }

  private void publish(boolean newlyLeaving) {
    snapshot = new Snapshot(clock.nowNanos(), tracker.reports(MAX_REPORTS));
    UpstreamDirectory marked = tracker.apply(listedDirectory);
    if (!marked.all().equals(publishedDirectory.getAndSet(marked).all())) {
      onDirectoryChanged.accept(marked);
    }
    if (newlyLeaving) {
      onNewlyLeaving.run();
    }
  }
}
