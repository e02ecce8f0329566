package org.cranberrystand.outcome;

import java.util.Locale;

/** Why it is not known whether a request was run. */
public enum UnknownCause {
  /** The connection to the upstream broke after the request was written. */
  CONNECTION_LOST,
  /** The upstream did not answer in time. */
  UPSTREAM_TIMEOUT,
  /** The node that issued the identifier cannot be reached or was replaced. */
  ISSUER_UNREACHABLE,
  /** The identifier expired, so its record is gone. */
  IDENTIFIER_EXPIRED,
  /** The answer to a hand-over was lost. */
  HANDOVER_LOST;

  /**
   * Returns the name used in problem documents and reports.
   *
   * @return the lower-case name with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
