package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.routing.ColdStart;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ColdUpstreamsTest {
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final ColdTolerance TOLERANCE = new ColdTolerance(1.5, 5);
  private ColdUpstreams cold;

  @BeforeMethod
  public void declarePool() {
    cold = new ColdUpstreams(Optional.of(TOLERANCE));
    cold.declared(ImmutableMap.of("llm", new ColdStart(10_000, 9.3)));
  }

  private static RegisteredUpstream upstream(long born, long coldMillis) {
    return new RegisteredUpstream("u", "llm", "10.0.0.1:80", "d", "v1", 4, born, coldMillis, false);
  }

  private boolean isCold(RegisteredUpstream upstream, long nowNanos) {
    return cold.bound(upstream, nowNanos).isPresent();
  }

  @Test
  public void registeredDurationHolds() {
    RegisteredUpstream upstream = upstream(1, 3_000);
    cold.registered(upstream, 1, 0);

    assertEquals(
        cold.bound(upstream, 2 * SECOND), Optional.of(RateBound.ofColdUpstream(9.3, 1.5, 5)));
    assertFalse(isCold(upstream, 3 * SECOND));
    assertEquals(cold.cold(SECOND).get("u").remainingMillis(), 2_000);
  }

  /** Guards against a registration that is read only once, when the upstream appears. */
  @Test
  public void upstreamBecomesColdAgainWithALaterRegistration() {
    cold.registered(upstream(1, 0), 1, 0);
    RegisteredUpstream again = upstream(1, 4_000);
    cold.registered(again, 2, 60 * SECOND);

    assertTrue(isCold(again, 63 * SECOND));
    cold.registered(upstream(1, 0), 3, 64 * SECOND);
    assertFalse(isCold(again, 64 * SECOND));
  }

  /** Guards against a list from the store that starts the time of an old registration again. */
  @Test
  public void registrationThatIsReadAgainDoesNotExtendTheTime() {
    RegisteredUpstream upstream = upstream(1, 3_000);
    cold.registered(upstream, 1, 0);
    cold.registered(upstream, 1, 2 * SECOND);

    assertFalse(isCold(upstream, 4 * SECOND));
  }

  /** Guards against a new process that receives as many requests as the old one. */
  @Test
  public void newIncarnationIsColdForTheDeclaredTime() {
    cold.registered(upstream(1, 0), 1, 0);
    RegisteredUpstream reborn = upstream(2, RegisteredUpstream.COLD_UNKNOWN);
    cold.registered(reborn, 2, SECOND);

    assertTrue(isCold(reborn, 10 * SECOND));
    assertFalse(isCold(reborn, 11 * SECOND));
  }

  /** Guards against a registration from before the event that ends the assumption. */
  @Test
  public void lostContactCountsAsColdUntilALaterRegistration() {
    RegisteredUpstream upstream = upstream(1, 0);
    cold.registered(upstream, 1, 0);
    assertTrue(cold.treatAsCold(List.of(upstream), ColdUpstreams.Cause.CONTACT_LOST, 5 * SECOND));
    cold.registered(upstream, 2, 5 * SECOND + 200 * MILLI);
    assertTrue(isCold(upstream, 6 * SECOND));
    cold.stated(upstream, ColdDuration.ofMillis("0"), 4 * SECOND, 6 * SECOND);
    assertTrue(isCold(upstream, 6 * SECOND));

    cold.registered(upstream, 3, 6 * SECOND);
    assertFalse(isCold(upstream, 6 * SECOND));
  }

  @Test
  public void responseStatesTheRemainingTime() {
    RegisteredUpstream upstream = upstream(1, 0);
    cold.registered(upstream, 1, 0);
    cold.stated(upstream, ColdDuration.ofMillis("2500"), SECOND, SECOND);

    assertTrue(isCold(upstream, 3 * SECOND));
    assertFalse(isCold(upstream, 4 * SECOND));
  }

  /** Guards against a value that cannot be used and changes something. */
  @Test
  public void invalidDurationsHaveNoEffect() {
    RegisteredUpstream upstream = upstream(1, 3_000);
    cold.registered(upstream, 1, 0);
    for (String stated : List.of("-1", "soon", "", "1e9", "999999999999")) {
      ColdDuration duration = ColdDuration.ofMillis(stated);
      assertFalse(duration.isValid(), stated);
      cold.stated(upstream, duration, SECOND, SECOND);
    }

    assertTrue(isCold(upstream, 2 * SECOND));
    assertFalse(isCold(upstream, 3 * SECOND));
  }

  /** Guards against limits in deployments that do not ask for them. */
  @Test
  public void nothingIsColdWithoutToleranceOrDeclaration() {
    RegisteredUpstream upstream = upstream(1, 3_000);
    ColdUpstreams disabled = new ColdUpstreams(Optional.empty());
    disabled.declared(ImmutableMap.of("llm", new ColdStart(10_000, 9.3)));
    disabled.registered(upstream, 1, 0);
    assertFalse(disabled.treatAsCold(List.of(upstream), ColdUpstreams.Cause.CONTACT_LOST, 0));
    assertTrue(disabled.bound(upstream, 0).isEmpty());

    cold.declared(ImmutableMap.of("llm", ColdStart.NONE));
    cold.registered(upstream, 1, 0);
    assertFalse(cold.treatAsCold(List.of(upstream), ColdUpstreams.Cause.CONTACT_LOST, 0));
    assertTrue(cold.cold(0).isEmpty());
  }
}
