package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.RateLimit;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * The limits of one kind that upstreams state to this node and to others. Used only on the event
 * loop.
 */
final class UpstreamStatements {
  private final UpstreamLimits limits = new UpstreamLimits();
  private final String header;
  private final LogEvent event;
  private final EventLog log;
  private final Runnable changed;

  /**
   * Creates statements of one kind.
   *
   * @param header what the log calls the header in which upstreams state the limit
   * @param event the event that the log writes for a change
   * @param log the event log
   * @param changed called after a change
   */
  UpstreamStatements(String header, LogEvent event, EventLog log, Runnable changed) {
    this.header = header;
    this.event = event;
    this.log = log;
    this.changed = changed;
  }

  /** Applies what the response to a request that was sent at a time says of the limit. */
  void stated(RegisteredUpstream upstream, RateLimit limit, long sentNanos) {
    if (!limit.isValid()) {
      log.write(LogEvent.HEADER_IGNORED, "header=" + header + " upstream=" + upstream.id());
    }
    double before = limits.perSecond(upstream);
    if (limits.stated(upstream, limit, sentNanos, System.nanoTime())) {
      changed.run();
      log.write(
          event,
          "upstream="
              + upstream.id()
              + " per_second="
              + limit.perSecond()
              + " before="
              + before
              + " source=answer");
    }
  }

  /** Applies the limits that another node reported. */
  void reported(String peer, ImmutableList<UpstreamLimits.Report> reports) {
    for (UpstreamLimits.Report report : reports) {
      if (limits.reported(report, System.nanoTime())) {
        changed.run();
        log.write(
            event,
            "upstream="
                + report.incarnation()
                + " per_second="
                + report.perSecond()
                + " age_ms="
                + report.ageNanos() / 1_000_000
                + " source="
                + peer);
      }
    }
  }

  /** Returns the limits to report to other nodes. */
  ImmutableList<UpstreamLimits.Report> reports() {
    return limits.reports(System.nanoTime());
  }

  /** Returns the limit of an upstream per second; infinite without a limit. */
  double perSecond(RegisteredUpstream upstream) {
    return limits.perSecond(upstream);
  }

  /** Returns the number of upstreams with a limit. */
  int limitedCount() {
    return limits.limitedCount();
  }

  void expire(long nowNanos) {
    limits.expire(nowNanos);
  }
}
