package org.cranberrystand.identity;

import java.util.concurrent.CompletableFuture;
import org.cranberrystand.outcome.Outcome;

/**
 * Record of one claimed identifier.
 *
 * <p>Safe for use by several threads.
 */
public final class LedgerEntry {
  private final RequestId id;
  private final String shop;
  private final String bodyDigest;
  private final CompletableFuture<Outcome> done = new CompletableFuture<>();
  private volatile Outcome retained;
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

  /**
   * Returns a future that completes with the first outcome.
   *
   * @return a copy; completing it does not affect the entry
   */
  public CompletableFuture<Outcome> whenDone() {
    return done.copy();
  }

  /**
   * Returns the outcome as far as it is retained.
   *
   * @return the outcome, or null while the request is queued or running
   */
  Outcome retained() {
    return retained;
  }

  boolean matches(String otherShop, String otherBodyDigest) {
    return shop.equals(otherShop) && bodyDigest.equals(otherBodyDigest);
  }

  /**
   * Returns the reference under which the answer can be read from its engine.
   *
   * @return the text form, or null if the request has no stream
   */
  public String resumeReference() {
    return resumeReference;
  }

  /**
   * Records where the answer can be read.
   *
   * @param reference the text form of the resume reference
   */
  public void setResumeReference(String reference) {
    this.resumeReference = reference;
  }

  /**
   * Sets the outcome unless there is one.
   *
   * <p>The future decides between concurrent calls, so that a late outcome never replaces the one
   * that callers were told.
   */
  boolean finish(Outcome outcome) {
    if (!done.complete(outcome)) {
      return false;
    }
    retained = outcome;
    return true;
  }

  /** Drops the recorded answer and keeps only the fact that the request was answered. */
  void dropAnswer() {
    if (retained instanceof Outcome.Answered answered) {
      Outcome outcome = new Outcome.AnsweredNotRetained(answered.answer().status());
      retained = outcome;
      // The future would otherwise keep the answer reachable beyond the ledger's byte limit.
      done.obtrudeValue(outcome);
    }
  }
}
