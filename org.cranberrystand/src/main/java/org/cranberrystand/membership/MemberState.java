package org.cranberrystand.membership;

import java.util.Locale;

/**
 * State of a node as seen by another node.
 *
 * <p>With equal sequence numbers, a later constant overrides an earlier one.
 */
public enum MemberState {
  /** The node answers probes. */
  ALIVE(true),
  /** The node did not answer recent probes. */
  SUSPECT(true),
  /** The node is shutting down and accepts no new work. */
  LEAVING(false),
  /** The node stopped, or was unreachable for the suspicion time. */
  GONE(false);

  private final boolean acceptsCallers;

  MemberState(boolean acceptsCallers) {
    this.acceptsCallers = acceptsCallers;
  }

  /**
   * Returns whether callers may be sent to the node.
   *
   * @return true if its address may be returned to callers
   */
  public boolean acceptsCallers() {
    return acceptsCallers;
  }

  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
