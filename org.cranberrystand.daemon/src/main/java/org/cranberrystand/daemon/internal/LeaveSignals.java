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
 * Keeps the directory of upstreams with leaving ones marked, from all sources of leave signals.
 *
 * <p>Safe for use by several threads.
 */
public final class LeaveSignals {
  private static final int MAX_REPORTS = 32;

  private final MonotonicClock clock;
  private final DrainTracker tracker;
  private final SerialExecutor serial;
  private final AtomicReference<UpstreamDirectory> published;
  private volatile Consumer<UpstreamDirectory> onDirectory = directory -> {};
  private volatile Runnable onNews = () -> {};
  private UpstreamDirectory listed = UpstreamDirectory.empty();
  private volatile Snapshot snapshot = new Snapshot(0, ImmutableList.of());

  private record Snapshot(long atNanos, ImmutableList<DrainTracker.Report> reports) {}

  LeaveSignals(MonotonicClock clock, EventLog log, AtomicReference<UpstreamDirectory> published) {
    this.clock = clock;
    this.tracker = new DrainTracker(clock);
    this.published = published;
    this.serial = new SerialExecutor(t -> log.write(LogEvent.TASK_FAILED, "task=leaving", t));
  }

  /**
   * Sets who is told of changes.
   *
   * @param directoryChanged receives each new directory
   * @param news called when an upstream counts as leaving that did not before
   */
  void listen(Consumer<UpstreamDirectory> directoryChanged, Runnable news) {
    this.onDirectory = directoryChanged;
    this.onNews = news;
  }

  /**
   * Takes a new VM list.
   *
   * @param directory the upstreams as listed
   */
  void listed(UpstreamDirectory directory) {
    serial.execute(
        () -> {
          listed = directory;
          publish(
              tracker.vmListUpdated(
                  directory.all().stream()
                      .filter(UpstreamRecord::leaving)
                      .map(UpstreamRecord::name)
                      .toList()));
        });
  }

  /**
   * Takes an upstream's load report.
   *
   * @param upstream the name of the upstream
   * @param draining whether it says that it is leaving
   * @param observedAtNanos when its figures were taken, on the clock of the node
   */
  public void reported(String upstream, boolean draining, long observedAtNanos) {
    serial.execute(() -> publish(tracker.loadReported(upstream, draining, observedAtNanos)));
  }

  /**
   * Takes the refusal of an upstream that is leaving.
   *
   * @param upstream the name of the upstream
   */
  public void refused(String upstream) {
    serial.execute(() -> publish(tracker.refused(upstream)));
  }

  void reportedByPeer(List<DrainTracker.Report> peerReports) {
    if (!peerReports.isEmpty()) {
      serial.execute(
          () -> {
            boolean news = false;
            for (DrainTracker.Report report : peerReports) {
              news |= tracker.reportedByPeer(report);
            }
            publish(news);
          });
    }
  }

  /** Lets signals expire; called each second. */
  void expire() {
    serial.execute(
        () -> {
          tracker.expire();
          publish(false);
        });
  }

  /**
   * Returns the reports for digests.
   *
   * <p>Ages are as of now: a report passed on with the age of an earlier moment would be renewed
   * with each hop and would never expire.
   *
   * @return the leaving upstreams as of the last change or expiry
   */
  ImmutableList<DrainTracker.Report> reports() {
    Snapshot current = snapshot;
    long elapsedNanos = clock.nowNanos() - current.atNanos();
    return current.reports().stream()
        .map(r -> new DrainTracker.Report(r.upstream(), r.ageNanos() + elapsedNanos))
        .collect(ImmutableList.toImmutableList());
  }

  private void publish(boolean news) {
    snapshot = new Snapshot(clock.nowNanos(), tracker.reports(MAX_REPORTS));
    UpstreamDirectory marked = tracker.apply(listed);
    if (!marked.all().equals(published.getAndSet(marked).all())) {
      onDirectory.accept(marked);
    }
    if (news) {
      onNews.run();
    }
  }
}
