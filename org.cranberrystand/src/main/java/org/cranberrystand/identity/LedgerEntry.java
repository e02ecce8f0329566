package org.cranberrystand.identity;

import java.util.Optional;
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
   * Returns the outcome so far.
   *
   * @return the outcome, or empty while the request is queued or running
   */
  public Optional<Outcome> outcome() {
    return Optional.ofNullable(retained);
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

  boolean finish(Outcome outcome) {
    if (done.isDone()) {
      return false;
    }
    retained = outcome;
    return done.complete(outcome);
  }

  /** Drops the recorded answer and keeps only the fact that the request was answered. */
  void dropAnswer() {
    if (retained instanceof Outcome.Answered answered) {
      retained = new Outcome.AnsweredNotRetained(answered.answer().status());
    }
  }
}
