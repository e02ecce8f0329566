package org.cranberrystand.outcome;

import java.util.Locale;

/** Why a request was not run. */
public enum NotRunReason {
  /** All queues that could take the request are full. */
  OVERLOADED(503, true),
  /** The request was removed from a queue in favour of more urgent work. */
  EVICTED(503, true),
  /** The caller's team is above its share while the system is overloaded. */
  TEAM_LIMIT(429, true),
  /** The request could not be finished within its deadline. */
  DEADLINE(503, true),
  /** No upstream that may serve the kind of work is available. */
  NO_UPSTREAM(503, true),
  /** Every attempt was refused before running and the retry budget is used up. */
  REFUSED(503, true),
  /** The node is shutting down. */
  LEAVING(503, true),
  /** The node has no bundle in force or its view is not confirmed yet. */
  NOT_READY(503, true),
  /** The content crashed upstreams before. */
  QUARANTINED(503, true),
  /** The caller cancelled the request while it was queued. */
  CANCELLED(503, false);

  private final int status;
  private final boolean retrySound;

  NotRunReason(int status, boolean retrySound) {
    this.status = status;
    this.retrySound = retrySound;
  }

  /**
   * Returns the HTTP status that reports this reason.
   *
   * @return 429 for a limit of the caller's own, 503 otherwise
   */
  public int status() {
    return status;
  }

  /**
   * Tells whether the caller may send the request again later.
   *
   * @return true if it may
   */
  public boolean isRetrySound() {
    return retrySound;
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
