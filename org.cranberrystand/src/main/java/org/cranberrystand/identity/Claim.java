package org.cranberrystand.identity;

import org.cranberrystand.outcome.Outcome;

/** Result of presenting an identifier to the ledger of its issuer. */
public sealed interface Claim {

  /**
   * The identifier was not used before; the holder of this claim may dispatch the request once.
   *
   * @param entry the new entry
   */
  record Granted(LedgerEntry entry) implements Claim {}

  /**
   * The request is queued or running.
   *
   * @param entry the entry of the first claim
   */
  record InFlight(LedgerEntry entry) implements Claim {}

  /**
   * The request ended earlier.
   *
   * @param entry the entry of the first claim
   * @param outcome the recorded outcome
   */
  record Completed(LedgerEntry entry, Outcome outcome) implements Claim {}

  /** Another shop or another body used the identifier before. */
  record Mismatch() implements Claim {}

  /** The identifier expired, so its outcome is no longer known. */
  record Expired() implements Claim {}

  /** The identifier was never issued by this incarnation. */
  record NeverIssued() implements Claim {}
}
