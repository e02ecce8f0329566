package org.cranberrystand.identity;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cranberrystand.outcome.Outcome;

/**
 * Ledger record of one claimed request identifier.
 *
 * <p>Thread-safe.
 */
public final class LedgerEntry {
  private final RequestId id;
  private final String shop;
  private final String bodyDigest;
  private final CompletableFuture<Outcome> outcomeFuture = new CompletableFuture<>();
  private volatile Outcome retainedOutcome;
  private volatile String resumeReference;

  LedgerEntry(RequestId id, String shop, String bodyDigest) {
    this.id = id;
    this.shop = shop;
    this.bodyDigest = bodyDigest;
  }

  public RequestId id() {
    return id;
  }

  public String shop() {
    return shop;
  }

  public String bodyDigest() {
    return bodyDigest;
  }

  /**
   * Returns the outcome of the request.
   *
   * @return the outcome, or empty while the request is queued or running
   */
  public Optional<Outcome> outcome() {
    return Optional.ofNullable(retainedOutcome);
  }

  /**
   * Returns a future that completes with the first outcome.
   *
   * @return a copy of the future; completing the copy does not affect the entry
   */
  public CompletableFuture<Outcome> outcomeFuture() {
    return outcomeFuture.copy();
  }

  /**
   * Returns the outcome as a nullable reference.
   *
   * @return the outcome, or null while the request is queued or running
   */
  Outcome retainedOutcome() {
    return retainedOutcome;
  }

  boolean matches(String requestShop, String requestBodyDigest) {
    return shop.equals(requestShop) && bodyDigest.equals(requestBodyDigest);
  }

  /**
   * Returns the reference by which the answer stream can be read from its engine.
   *
   * @return the text form of the resume reference, or null if the request has no stream
   */
  public String resumeReference() {
    return resumeReference;
  }

  /**
   * Sets the reference by which the answer stream can be read from its engine.
   *
   * @param reference the text form of the resume reference
   */
  public void setResumeReference(String reference) {
    this.resumeReference = reference;
  }

  /**
   * Sets the outcome if none is set.
   *
   * <p>The future arbitrates between concurrent calls, so that a later outcome never replaces the
   * outcome reported to callers.
   */
  boolean trySetOutcome(Outcome outcome) {
    if (!outcomeFuture.complete(outcome)) {
      return false;
    }
    retainedOutcome = outcome;
    return true;
  }

  /** Discards the recorded answer and keeps only its status. */
  void dropAnswer() {
    if (retainedOutcome instanceof Outcome.Answered answered) {
      Outcome outcome = new Outcome.AnsweredNotRetained(answered.answer().status());
      retainedOutcome = outcome;
      // Otherwise the future would keep the answer in memory beyond the byte limit of the ledger.
      outcomeFuture.obtrudeValue(outcome);
    }
  }
}
