package org.cranberrystand.dispatch;

/** How a request ended at an upstream. */
public enum CallEnding {
  /** Answered completely. */
  ANSWERED(false, true),
  /** Refused before it ran. */
  NOT_RUN(true, true),
  /** Answered with a failure of the upstream's own. */
  FAILED(true, true),
  /** The connection broke after the request was sent. */
  BROKEN(true, false),
  /** No connection could be opened; nothing was sent. */
  UNREACHABLE(true, false),
  /** Nothing came in time. */
  SILENT(true, false),
  /** Ended by the caller or by the node. */
  CANCELLED(false, true);

  private final boolean failure;
  private final boolean alive;

  CallEnding(boolean failure, boolean alive) {
    this.failure = failure;
    this.alive = alive;
  }

  /**
   * Tells whether the ending counts against the upstream.
   *
   * @return true if enough of them eject it
   */
  public boolean isFailure() {
    return failure;
  }

  /**
   * Tells whether the upstream was there at the end.
   *
   * @return false if it may be down
   */
  public boolean showsUpstreamAlive() {
    return alive;
  }
}
