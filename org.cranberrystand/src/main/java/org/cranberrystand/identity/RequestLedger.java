package org.cranberrystand.identity;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.outcome.Outcome;

/**
 * Allows at most one dispatch for each identifier of one incarnation.
 *
 * <p>An entry stays until its identifier expires, so the size is bounded by the request rate times
 * the identifier lifetime. Recorded answers are bounded in bytes; the oldest are dropped first.
 * Safe for use by several threads.
 */
public final class RequestLedger {
  private final IdentifierIssuer issuer;
  private final long maxAnswerBytes;
  private final ConcurrentSkipListMap<Long, LedgerEntry> entries = new ConcurrentSkipListMap<>();
  private final Queue<LedgerEntry> answered = new ConcurrentLinkedQueue<>();
  private final AtomicLong answerBytes = new AtomicLong();

  /**
   * Creates an empty ledger.
   *
   * @param issuer the issuer of the identifiers
   * @param maxAnswerBytes the limit of all recorded answers together, in bytes
   */
  public RequestLedger(IdentifierIssuer issuer, long maxAnswerBytes) {
    this.issuer = issuer;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /**
   * Presents an identifier.
   *
   * @param id an identifier of this incarnation
   * @param shop the shop that sent the request
   * @param bodyDigest the digest of the kind and body of the request
   * @return what the caller may do
   */
  public Claim claim(RequestId id, String shop, String bodyDigest) {
    IdentifierIssuer.Validity validity = issuer.validityOf(id);
    if (validity == IdentifierIssuer.Validity.NEVER_ISSUED) {
      return new Claim.NeverIssued();
    }
    if (validity == IdentifierIssuer.Validity.EXPIRED) {
      return new Claim.Expired();
    }
    LedgerEntry fresh = new LedgerEntry(id, shop, bodyDigest);
    LedgerEntry existing = entries.putIfAbsent(id.sequence(), fresh);
    if (existing == null) {
      return confirm(fresh);
    }
    if (!existing.matches(shop, bodyDigest)) {
      return new Claim.Mismatch();
    }
    Outcome outcome = existing.retained();
    return outcome == null ? new Claim.InFlight(existing) : new Claim.Completed(existing, outcome);
  }

  // The first check and the insertion are not one step: a thread that was paused between them could
  // claim an identifier whose entry was evicted meanwhile, and so run the request a second time.
  private Claim confirm(LedgerEntry fresh) {
    if (issuer.validityOf(fresh.id()) == IdentifierIssuer.Validity.VALID) {
      return new Claim.Granted(fresh);
    }
    entries.remove(fresh.id().sequence(), fresh);
    return new Claim.Expired();
  }

  /**
   * Records the outcome of a granted claim.
   *
   * <p>After {@link Outcome.NotRun} the identifier may be claimed again, since nothing was run.
   * Only the first call for an entry has an effect.
   *
   * @param entry the entry of the claim
   * @param outcome what became of the request
   */
  public void complete(LedgerEntry entry, Outcome outcome) {
    if (!entry.finish(outcome)) {
      return;
    }
    if (outcome instanceof Outcome.NotRun) {
      entries.remove(entry.id().sequence(), entry);
    } else if (outcome instanceof Outcome.Answered answer) {
      answered.add(entry);
      answerBytes.addAndGet(answer.answer().sizeBytes());
      dropOldAnswers();
    }
  }

  /** Removes the entries of expired identifiers. */
  public void evictExpired() {
    var expired = entries.headMap(issuer.firstValidSequence(), false);
    expired.values().removeIf(entry -> entry.retained() != null);
  }

  /**
   * Returns the number of entries.
   *
   * @return the number of identifiers claimed and not yet evicted
   */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the size of the recorded answers.
   *
   * @return the size in bytes, without headers
   */
  public long answerBytes() {
    return answerBytes.get();
  }

  private void dropOldAnswers() {
    while (answerBytes.get() > maxAnswerBytes) {
      LedgerEntry oldest = answered.poll();
      if (oldest == null) {
        return;
      }
      if (oldest.retained() instanceof Outcome.Answered answer) {
        oldest.dropAnswer();
        answerBytes.addAndGet(-answer.answer().sizeBytes());
      }
    }
  }
}
