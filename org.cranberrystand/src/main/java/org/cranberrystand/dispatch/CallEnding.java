package org.cranberrystand.dispatch;

/** How a request ended at an upstream. */
public enum CallEnding {
  /** The upstream sent a complete response. */
  ANSWERED(false, true),
  /** The upstream refused the request before running it. */
  NOT_RUN(true, true),
  /** The upstream answered with an error of its own. */
  FAILED(true, true),
  /** The connection broke after the request was sent. */
  BROKEN(true, false),
  /** No connection could be opened; nothing was sent. */
  UNREACHABLE(true, false),
  /** The upstream sent nothing before the timeout. */
  SILENT(true, false),
  /** The caller or the node cancelled the request. */
  CANCELLED(false, true);

  private final boolean failure;
  private final boolean reachable;

  CallEnding(boolean failure, boolean reachable) {
    this.failure = failure;
    this.reachable = reachable;
  }

  /**
   * Returns whether the ending counts as a failure of the upstream.
   *
   * @return true if repeated endings of this kind eject the upstream
   */
  public boolean isFailure() {
    return failure;
  }

  /**
   * Returns whether the upstream was reachable when the request ended.
   *
   * @return false if the upstream may be down
   */
  public boolean isUpstreamReachable() {
    return reachable;
  }
}
