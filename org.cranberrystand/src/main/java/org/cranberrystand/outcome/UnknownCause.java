package org.cranberrystand.outcome;

import java.util.Locale;

/** Reason why the outcome of a request is unknown. */
public enum UnknownCause {
  /** The connection to the upstream was lost after the request was written. */
  CONNECTION_LOST,
  /** The upstream did not answer before the timeout. */
  UPSTREAM_TIMEOUT,
  /** The node that issued the identifier is unreachable or was replaced. */
  ISSUER_UNREACHABLE,
  /** The identifier has expired, and its record was removed. */
  IDENTIFIER_EXPIRED,
  /** The response to a handover to another node was lost. */
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
