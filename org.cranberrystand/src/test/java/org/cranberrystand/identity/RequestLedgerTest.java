package org.cranberrystand.identity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.util.ManualClock;
import org.cranberrystand.util.MonotonicClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against more than one dispatch under the same request identifier. */
public class RequestLedgerTest {
  private static final Duration LIFETIME = Duration.ofMinutes(10);
  private static final String SHOP = "lajeado-counter";

  private ManualClock clock;
  private IdentifierIssuer issuer;
  private RequestLedger ledger;

  @BeforeMethod
  public void setUp() {
    clock = new ManualClock(0);
    issuer = new IdentifierIssuer(new Incarnation("node-0", 7), clock, LIFETIME.toNanos());
    ledger = new RequestLedger(issuer, 10);
  }

  @Test
  public void secondClaimWhileRunningIsNotGranted() {
    RequestId id = issuer.next();
    assertTrue(ledger.claim(id, SHOP, "a") instanceof Claim.Granted);
    assertTrue(ledger.claim(id, SHOP, "a") instanceof Claim.InFlight);
  }

  @Test
  public void anotherShopDoesNotGetTheAnswer() {
    RequestId id = issuer.next();
    complete(id, answer("abc"));
    assertTrue(ledger.claim(id, "other", "a") instanceof Claim.Mismatch);
    assertTrue(ledger.claim(id, SHOP, "b") instanceof Claim.Mismatch);
  }

  @Test
  public void requestThatWasNotRunMayBeClaimedAgain() {
    RequestId id = issuer.next();
    complete(id, new Outcome.NotRun(NotRunReason.OVERLOADED, 0));
    assertTrue(ledger.claim(id, SHOP, "a") instanceof Claim.Granted);
  }

  @Test
  public void evictedAnswerIsStillReportedAsRun() {
    RequestId first = issuer.next();
    complete(first, answer("12345678"));
    complete(issuer.next(), answer("12345678"));
    assertTrue(
        ledger.claim(first, SHOP, "a") instanceof Claim.Completed completed
            && completed.outcome() instanceof Outcome.AnsweredNotRetained);
    assertEquals(ledger.answerBytes(), 8);
  }

  @Test
  public void expiredIdentifierIsNeverGrantedAndItsEntryIsEvicted() {
    RequestId used = issuer.next();
    RequestId unused = issuer.next();
    complete(used, answer("x"));
    clock.advance(LIFETIME);
    issuer.next();
    clock.advance(LIFETIME);
    issuer.next();
    ledger.evictExpired();
    assertEquals(ledger.size(), 0);
    assertTrue(ledger.claim(used, SHOP, "a") instanceof Claim.Expired);
    assertTrue(ledger.claim(unused, SHOP, "a") instanceof Claim.Expired);
  }

  @Test
  public void identifierExpiresOnAnIdleNode() {
    RequestId unused = issuer.next();
    clock.advance(LIFETIME.multipliedBy(2));
    assertTrue(ledger.claim(unused, SHOP, "a") instanceof Claim.Expired);
  }

  @Test
  public void lateNotRunDoesNotReleaseAnIdentifierThatMayHaveRun() {
    RequestId id = issuer.next();
    Claim.Granted granted = (Claim.Granted) ledger.claim(id, SHOP, "a");
    ledger.complete(granted.entry(), new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST));
    ledger.complete(granted.entry(), new Outcome.NotRun(NotRunReason.OVERLOADED, 0));
    assertTrue(ledger.claim(id, SHOP, "a") instanceof Claim.Completed);
  }

  @Test
  public void claimThatIsPausedAcrossTheExpiryIsNotGranted() {
    AtomicInteger clockReads = new AtomicInteger();
    MonotonicClock pausingClock =
        () -> clockReads.incrementAndGet() > 3 ? LIFETIME.multipliedBy(3).toNanos() : 0;
    IdentifierIssuer pausingIssuer =
        new IdentifierIssuer(new Incarnation("node-0", 7), pausingClock, LIFETIME.toNanos());
    RequestLedger pausingLedger = new RequestLedger(pausingIssuer, 10);
    RequestId id = pausingIssuer.next();
    assertTrue(pausingLedger.claim(id, SHOP, "a") instanceof Claim.Expired);
    assertEquals(clockReads.get(), 4, "the pause must fall between the check and the insertion");
  }

  @Test
  public void evictedAnswerIsNotRetainedByItsFuture() {
    Claim.Granted granted = (Claim.Granted) ledger.claim(issuer.next(), SHOP, "a");
    ledger.complete(granted.entry(), answer("12345678"));
    complete(issuer.next(), answer("12345678"));
    assertTrue(granted.entry().outcomeFuture().join() instanceof Outcome.AnsweredNotRetained);
  }

  @Test
  public void neverIssuedIdentifierIsRejected() {
    RequestId neverIssued = new RequestId(issuer.incarnation(), 99);
    assertTrue(ledger.claim(neverIssued, SHOP, "a") instanceof Claim.NeverIssued);
  }

  private void complete(RequestId id, Outcome outcome) {
    Claim.Granted granted = (Claim.Granted) ledger.claim(id, SHOP, "a");
    ledger.complete(granted.entry(), outcome);
  }

  private static Outcome answer(String text) {
    return new Outcome.Answered(
        new RecordedAnswer(
            200, ImmutableMap.of(), text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }
}
