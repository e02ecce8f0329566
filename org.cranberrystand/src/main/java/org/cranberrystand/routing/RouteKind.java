package org.cranberrystand.routing;

/** How often a request of a route may run. */
public enum RouteKind {
  /** May run any number of times. */
  IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return true;
    }
  },
  /** Runs at most once. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return false;
    }
  },
  /** Answers with a stream of events; may run again only where the stream can be resumed. */
  STREAMING {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return resumable;
    }

    @Override
    public boolean isStreaming() {
      return true;
    }
  };

  /**
   * Tells whether a request that may have run may be sent again.
   *
   * @param resumable whether the route declares that its streams can be resumed
   * @return true if a second run does no harm
   */
  public abstract boolean mayRepeat(boolean resumable);

  /**
   * Tells whether the answer is a stream of events.
   *
   * @return true for streams
   */
  public boolean isStreaming() {
    return false;
  }
}
