package org.cranberrystand.membership;

import java.util.Locale;

/** State of a node as seen by another one. A later constant overrides an earlier one. */
public enum MemberState {
  /** Answers. */
  ALIVE(true),
  /** Did not answer lately. */
  SUSPECT(true),
  /** Shuts down; takes no new work. */
  LEAVING(false),
  /** Does not answer any more, or said that it ended. */
  GONE(false);

  private final boolean offered;

  MemberState(boolean offered) {
    this.offered = offered;
  }

  /**
   * Tells whether callers may be sent to the node.
   *
   * @return true if its address may be offered
   */
  public boolean isOffered() {
    return offered;
  }

  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
