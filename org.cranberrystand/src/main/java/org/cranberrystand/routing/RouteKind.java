package org.cranberrystand.routing;

/** Kind of the requests of a route: whether they may run more than once and whether they stream. */
public enum RouteKind {
  /** May run any number of times. */
  IDEMPOTENT {
    @Override
    public boolean isRetryable(boolean resumable) {
      return true;
    }
  },
  /** Runs at most once. */
  NON_IDEMPOTENT {
    @Override
    public boolean isRetryable(boolean resumable) {
      return false;
    }
  },
  /** The response is a stream of events; may run again only if the stream can be resumed. */
  STREAMING {
    @Override
    public boolean isRetryable(boolean resumable) {
      return resumable;
    }

    @Override
    public boolean isStreaming() {
      return true;
    }
  };

  /**
   * Returns whether a request that may already have run may be sent again.
   *
   * @param resumable whether the route declares that its streams can be resumed
   * @return true if a second run is harmless
   */
  public abstract boolean isRetryable(boolean resumable);

  /**
   * Returns whether the response is a stream of events.
   *
   * @return true for a stream
   */
  public boolean isStreaming() {
    return false;
  }
}
