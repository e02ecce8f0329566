package org.cranberrystand.identity;

import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.outcome.Outcome;

/**
 * Records claimed request identifiers, and allows at most one dispatch per identifier.
 *
 * <p>An entry is kept until its identifier expires, so the number of entries is bounded by the
 * request rate times the identifier lifetime. The recorded answers have a limit in bytes; the
 * oldest answers are discarded first. Thread-safe.
 */
public final class RequestLedger {
  private final IdentifierIssuer issuer;
  private final long maxAnswerBytes;
  private final ConcurrentSkipListMap<Long, LedgerEntry> entries = new ConcurrentSkipListMap<>();
  private final Queue<LedgerEntry> answeredEntries = new ConcurrentLinkedQueue<>();
  private final AtomicLong answerBytes = new AtomicLong();

  /**
   * Creates an empty ledger.
   *
   * @param issuer the issuer of the identifiers
   * @param maxAnswerBytes the limit for the total size of the recorded answers, in bytes
   */
  public RequestLedger(IdentifierIssuer issuer, long maxAnswerBytes) {
    this.issuer = issuer;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /**
   * Claims an identifier for a request.
   *
   * @param id an identifier of this incarnation
   * @param shop the shop that sent the request
   * @param bodyDigest the digest of the kind and body of the request
   * @return whether the request may be dispatched, or the state of the first claim
   */
  public Claim claim(RequestId id, String shop, String bodyDigest) {
    IdentifierIssuer.Validity validity = issuer.validityOf(id);
    if (validity == IdentifierIssuer.Validity.NEVER_ISSUED) {
      return new Claim.NeverIssued();
    }
    if (validity == IdentifierIssuer.Validity.EXPIRED) {
      return new Claim.Expired();
    }
    LedgerEntry newEntry = new LedgerEntry(id, shop, bodyDigest);
    LedgerEntry existing = entries.putIfAbsent(id.sequence(), newEntry);
    if (existing == null) {
      return recheckValidity(newEntry);
    }
    if (!existing.matches(shop, bodyDigest)) {
      return new Claim.Mismatch();
    }
    Outcome outcome = existing.retainedOutcome();
    return outcome == null ? new Claim.InFlight(existing) : new Claim.Completed(existing, outcome);
  }

  // The first check and the insertion are not atomic: a thread that is paused between them could
  // claim an identifier whose entry was evicted meanwhile, and run the request a second time.
  private Claim recheckValidity(LedgerEntry newEntry) {
    if (issuer.validityOf(newEntry.id()) == IdentifierIssuer.Validity.VALID) {
      return new Claim.Granted(newEntry);
    }
    entries.remove(newEntry.id().sequence(), newEntry);
    return new Claim.Expired();
  }

  /**
   * Returns the entry of an identifier.
   *
   * @param id an identifier of this incarnation
   * @return the entry, or empty if the identifier was not claimed or its entry was removed
   */
  public Optional<LedgerEntry> find(RequestId id) {
    return Optional.ofNullable(entries.get(id.sequence()));
  }

  /**
   * Records the outcome of a granted claim.
   *
   * <p>After {@link Outcome.NotRun} the identifier can be claimed again, because no upstream ran
   * the request. Only the first call for an entry has an effect.
   *
   * @param entry the entry of the claim
   * @param outcome the outcome of the request
   */
  public void complete(LedgerEntry entry, Outcome outcome) {
    if (!entry.trySetOutcome(outcome)) {
      return;
    }
    if (outcome instanceof Outcome.NotRun) {
      entries.remove(entry.id().sequence(), entry);
    } else if (outcome instanceof Outcome.Answered answer) {
      answeredEntries.add(entry);
      answerBytes.addAndGet(answer.answer().sizeBytes());
      evictOldestAnswers();
    }
  }

  /** Removes the entries of expired identifiers whose requests have completed. */
  public void evictExpired() {
    var expired = entries.headMap(issuer.firstValidSequence(), false);
    expired.values().removeIf(entry -> entry.retainedOutcome() != null);
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
   * Returns the total size of the recorded answers.
   *
   * @return the size in bytes, without headers
   */
  public long answerBytes() {
    return answerBytes.get();
  }

  private void evictOldestAnswers() {
    while (answerBytes.get() > maxAnswerBytes) {
      LedgerEntry oldest = answeredEntries.poll();
      if (oldest == null) {
        return;
      }
      if (oldest.retainedOutcome() instanceof Outcome.Answered answer) {
        oldest.dropAnswer();
        answerBytes.addAndGet(-answer.answer().sizeBytes());
      }
    }
  }
}
