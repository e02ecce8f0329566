package org.cranberrystand.outcome;

import java.util.Locale;

/** Reason why no upstream ran a request. */
public enum NotRunReason {
  /** All queues that could take the request are full. */
  OVERLOADED(503, true),
  /** The request was removed from a queue to make room for more urgent work. */
  EVICTED(503, true),
  /** The caller's team exceeds its fair share while the system is overloaded. */
  TEAM_LIMIT(429, true),
  /** The request could not be completed before its deadline. */
  DEADLINE(503, true),
  /** No upstream that serves the kind of work is available. */
  NO_UPSTREAM(503, true),
  /** Upstreams refused every attempt before running it, and the retry budget is exhausted. */
  REFUSED(503, true),
  /** The node is shutting down. */
  LEAVING(503, true),
  /** The node has no active bundle, or has not confirmed its view yet. */
  NOT_READY(503, true),
  /** The content of the request crashed upstreams before. */
  QUARANTINED(503, true),
  /** No node knows at which software version the stream began that the caller resumes. */
  UNKNOWN_STREAM(503, true),
  /** The caller cancelled the request while it was queued. */
  CANCELLED(503, false);

  private final int status;
  private final boolean retryable;

  NotRunReason(int status, boolean retryable) {
    this.status = status;
    this.retryable = retryable;
  }

  /**
   * Returns the HTTP status that reports this reason.
   *
   * @return 429 if the caller's team is over its limit, 503 otherwise
   */
  public int status() {
    return status;
  }

  /**
   * Returns whether the caller may send the request again later.
   *
   * @return true if a later retry can succeed
   */
  public boolean isRetryable() {
    return retryable;
  }

  /**
   * Returns the name used in problem documents and reports.
   *
   * @return the lower-case name with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
