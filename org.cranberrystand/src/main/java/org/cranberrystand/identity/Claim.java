package org.cranberrystand.identity;

import org.cranberrystand.outcome.Outcome;

/** Result of claiming a request identifier in the ledger of its issuer. */
public sealed interface Claim {

  /**
   * The identifier was unclaimed; the claimant may dispatch the request once.
   *
   * @param entry the new ledger entry
   */
  record Granted(LedgerEntry entry) implements Claim {}

  /**
   * A request with this identifier is queued or running.
   *
   * @param entry the ledger entry of the first claim
   */
  record InFlight(LedgerEntry entry) implements Claim {}

  /**
   * A request with this identifier has already completed.
   *
   * @param entry the ledger entry of the first claim
   * @param outcome the recorded outcome
   */
  record Completed(LedgerEntry entry, Outcome outcome) implements Claim {}

  /** The identifier was claimed before by another shop or with another body. */
  record Mismatch() implements Claim {}

  /** The identifier has expired, so its outcome is no longer stored. */
  record Expired() implements Claim {}

  /** This incarnation never issued the identifier. */
  record NeverIssued() implements Claim {}
}
