package org.cranberrystand.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.cranberrystand.util.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class UpstreamRegistryTest {
  private static final long SECOND = 1_000_000_000L;
  private ManualClock clock;
  private UpstreamRegistry registry;

  @BeforeMethod
  public void registerTwo() {
    clock = new ManualClock(1);
    registry = new UpstreamRegistry(clock);
    registry.replaceAll(List.of(upstream("a", false), upstream("b", false)), 0);
  }

  private static RegisteredUpstream upstream(String id, boolean leaving) {
    return new RegisteredUpstream(id, "pool", "10.0.0.1:80", "d", "v1", 4, 1, 0, leaving);
  }

  private List<String> usable() {
    return registry.usable().stream().map(RegisteredUpstream::id).toList();
  }

  @Test
  public void removedUpstreamIsUnusableWhileTheSourceIsAvailable() {
    registry.removed("a", SECOND);

    assertEquals(usable(), List.of("b"));
  }

  @Test
  public void leavingUpstreamIsUnusable() {
    registry.registered(upstream("a", true));

    assertEquals(usable(), List.of("b"));
  }

  /** Guards against an upstream that is kept as expired although its entry names none any more. */
  @Test
  public void upstreamWithAnOddEntryIsNotKeptForTheGracePeriod() {
    registry.registrationsMayHaveExpired(10 * SECOND);
    registry.removed("b", 10 * SECOND);
    registry.unusable("a", 10 * SECOND);
    registry.unusable("b", 10 * SECOND);

    assertEquals(usable(), List.of());
    assertFalse(registry.expire(13 * SECOND));

    registry.registered(upstream("a", false));
    assertEquals(usable(), List.of("a"));
  }

  /**
   * Guards against losing all upstreams when their entries expire during an outage of the store.
   */
  @Test
  public void expiredEntryIsKeptForTheGracePeriod() {
    registry.registrationsMayHaveExpired(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertEquals(usable(), List.of("a", "b"));
    assertFalse(registry.expire(12 * SECOND));
    assertTrue(registry.expire(13 * SECOND));
    assertEquals(usable(), List.of("b"));
  }

  @Test
  public void upstreamThatRegistersAgainIsKept() {
    registry.registrationsMayHaveExpired(10 * SECOND);
    registry.replaceAll(List.of(upstream("b", false)), 10 * SECOND);
    registry.registered(upstream("a", false));

    assertFalse(registry.expire(20 * SECOND));
    assertEquals(usable(), List.of("a", "b"));
  }

  /**
   * Guards against a grace period that lasts for as long as the outage before it, at a node that
   * heard of the end of the outage from others: an upstream that left later got requests.
   */
  @Test
  public void gracePeriodThatBeganInAnOutageIsExtendedByTheRestOfItOnly() {
    registry.sourceLost(10 * SECOND);
    registry.registrationsMayHaveExpired(15 * SECOND);
    registry.sourceRegained(16 * SECOND);
    registry.removed("b", 18 * SECOND);
    registry.removed("a", 18_200_000_000L);

    assertEquals(usable(), List.of("b"));
    assertTrue(registry.expire(18_200_000_000L));
    assertEquals(usable(), List.of());
  }

  /**
   * Guards against requests to an upstream that was leaving before the store became unavailable.
   */
  @Test
  public void leavingUpstreamGetsNoGracePeriod() {
    registry.registered(upstream("a", true));
    registry.registrationsMayHaveExpired(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertEquals(usable(), List.of("b"));
  }

  /**
   * Guards against requests to an upstream that left while calls of the store failed: the store was
   * away for too short a time to expire its registration.
   */
  @Test
  public void removalAfterAShortAbsenceIsNoExpiry() {
    registry.sourceLost(9 * SECOND);
    registry.sourceRegained(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertEquals(usable(), List.of("b"));
  }

  /** Guards against a grace period that starts again with each short absence of the store. */
  @Test
  public void shortAbsencesExtendTheGracePeriodByTheirOwnTimeOnly() {
    registry.registrationsMayHaveExpired(10 * SECOND);
    registry.removed("a", 10 * SECOND);
    for (int i = 0; i < 10; i++) {
      registry.sourceLost(10 * SECOND + i * SECOND / 5);
      registry.sourceRegained(10 * SECOND + i * SECOND / 5 + SECOND / 10);
    }

    assertFalse(registry.expire(13 * SECOND));
    assertTrue(registry.expire(13_200_000_000L));
    assertEquals(usable(), List.of("b"));
  }

  /** Guards against a grace period that is extended by the time after the source was there. */
  @Test
  public void absenceThatOthersSawEndExtendsNothing() {
    registry.sourceLost(5 * SECOND);
    registry.registrationsMayHaveExpired(10 * SECOND);
    registry.sourceRegained(10 * SECOND);
    registry.removed("a", 11 * SECOND);
    registry.sourceRegained(12 * SECOND);

    assertTrue(registry.expire(12_200_000_000L));
    assertEquals(usable(), List.of("b"));
  }

  /** Guards against requests to an upstream that is known to have left, in a grace period. */
  @Test
  public void whatIsMissingHasLeftIfTheSourceWasThere() {
    registry.sourceLost(5 * SECOND);
    registry.registrationsMayHaveExpired(10 * SECOND);
    registry.removed("a", 10 * SECOND);
    registry.sourceRegained(10 * SECOND);

    assertTrue(registry.registrationsDidNotExpire(11 * SECOND));
    assertEquals(usable(), List.of("b"));
    registry.removed("b", 11 * SECOND);
    assertEquals(usable(), List.of());
  }

  /** Guards against losing upstreams that a restored source lacks, since it was there before. */
  @Test
  public void whatARestoredSourceLacksIsKept() {
    registry.sourceRestored(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertFalse(registry.registrationsDidNotExpire(11 * SECOND));
    assertEquals(usable(), List.of("a", "b"));
  }

  private static RegisteredUpstream startedAt(String id, long startedAtMillis) {
    return new RegisteredUpstream(
        id, "pool", "10.0.0.1:80", "d", "v1", 4, startedAtMillis, 0, false);
  }

  /**
   * Guards against requests to an upstream that is leaving, after the store was restored from a
   * copy in which the upstream is still ready.
   */
  @Test
  public void leavingUpstreamStaysLeavingInARestoredStore() {
    registry.registered(upstream("a", true));
    registry.sourceRestored(10 * SECOND);
    registry.replaceAll(List.of(upstream("a", false), upstream("b", false)), 10 * SECOND);

    assertEquals(usable(), List.of("b"));
    registry.registered(upstream("a", false));
    assertEquals(usable(), List.of("b"));
  }

  /** Guards against losing upstreams that a copy does not contain, and against keeping them. */
  @Test
  public void upstreamThatTheCopyLacksIsKeptForTheGracePeriod() {
    registry.sourceRestored(10 * SECOND);
    registry.replaceAll(List.of(upstream("b", false)), 10 * SECOND);

    assertEquals(usable(), List.of("a", "b"));
    assertFalse(registry.expire(12 * SECOND));
    assertTrue(registry.expire(13 * SECOND));
    assertEquals(usable(), List.of("b"));
  }

  /**
   * Guards against requests to an upstream whose entry was removed before the store was restored
   * from an older copy. It may still serve for seconds, but must get no new requests.
   */
  @Test
  public void removedUpstreamInACopyIsUsedOnlyOnceItRegistersAgain() {
    registry.removed("a", 8 * SECOND);
    registry.sourceRestored(10 * SECOND);
    registry.replaceAll(List.of(upstream("a", false), upstream("b", false)), 10 * SECOND);
    assertEquals(usable(), List.of("b"));

    registry.registered(upstream("a", false));
    assertEquals(Set.copyOf(usable()), Set.of("a", "b"));
  }

  /** Guards against an upstream that stays unused although the restored store keeps its entry. */
  @Test
  public void removedUpstreamInACopyIsUsedOnceItsEntryOutlastsTheExpiry() {
    registry.removed("a", 8 * SECOND);
    registry.sourceRestored(10 * SECOND);
    registry.replaceAll(List.of(upstream("a", false), upstream("b", false)), 10 * SECOND);

    assertFalse(registry.expire(14 * SECOND));
    assertTrue(registry.expire(15 * SECOND));
    assertEquals(Set.copyOf(usable()), Set.of("a", "b"));
  }

  /** Guards against a second restoration that makes upstreams usable which the first one held. */
  @Test
  public void restorationsInSeriesKeepRemovedUpstreamsUnusable() {
    registry.removed("a", 8 * SECOND);
    for (long second = 10; second < 16; second += 2) {
      registry.sourceRestored(second * SECOND);
      registry.replaceAll(List.of(upstream("a", false), upstream("b", false)), second * SECOND);
      assertEquals(usable(), List.of("b"));
    }
  }

  /** Guards against dropping an upstream that a second restoration made register once more. */
  @Test
  public void secondRestorationWithinTheGracePeriodStartsItAgain() {
    registry.sourceRestored(10 * SECOND);
    registry.replaceAll(List.of(upstream("b", false)), 10 * SECOND);
    registry.sourceRestored(12 * SECOND);
    registry.replaceAll(List.of(upstream("b", false)), 12 * SECOND);

    assertFalse(registry.expire(14 * SECOND));
    registry.registered(upstream("a", false));
    assertFalse(registry.expire(20 * SECOND));
    assertEquals(Set.copyOf(usable()), Set.of("a", "b"));
  }

  /** Guards against an upstream that a copy lacks and that stays while watches are cut. */
  @Test
  public void shortAbsencesAfterARestorationDoNotKeepWhatTheCopyLacks() {
    registry.sourceRestored(10 * SECOND);
    registry.replaceAll(List.of(upstream("b", false)), 10 * SECOND);
    for (int i = 0; i < 20; i++) {
      long lostNanos = 10 * SECOND + i * SECOND / 10;
      registry.sourceLost(lostNanos);
      registry.sourceRegained(lostNanos + SECOND / 100);
    }

    assertTrue(registry.expire(12_400_000_000L));
    assertEquals(usable(), List.of("b"));
  }

  /** Guards against ignoring the announcement of an upstream whose registration lags behind. */
  @Test
  public void announcementHoldsForItsIncarnationOnly() {
    assertTrue(registry.announcedLeaving(upstream("a", false)));
    assertFalse(registry.announcedLeaving(upstream("a", false)));
    registry.registered(upstream("a", false));
    assertEquals(usable(), List.of("b"));

    registry.registered(startedAt("a", 2));
    assertEquals(usable(), List.of("a", "b"));
  }

  /** Guards against nodes that never met an upstream and do not learn that it is leaving. */
  @Test
  public void announcementsReachOtherNodes() {
    UpstreamRegistry other = new UpstreamRegistry(new ManualClock(1));
    other.replaceAll(List.of(upstream("a", false), startedAt("b", 2)), 0);
    registry.announcedLeaving(upstream("a", false));
    registry.announcedLeaving(upstream("b", false));

    assertTrue(other.announcementsReported(registry.recentAnnouncements()));
    assertFalse(other.announcementsReported(registry.recentAnnouncements()));
    assertEquals(other.usable(), List.of(startedAt("b", 2)));
  }

  /**
   * Guards against a restarted node that uses an upstream which left while the store, which was
   * away, still lists it as ready.
   */
  @Test
  public void announcementIsPassedOnWhileTheRegistrationSaysReady() {
    registry.announcedLeaving(upstream("a", false));
    clock.advance(Duration.ofSeconds(30));
    UpstreamRegistry restarted = new UpstreamRegistry(new ManualClock(1));
    restarted.replaceAll(List.of(upstream("a", false), upstream("b", false)), 0);

    restarted.announcementsReported(registry.recentAnnouncements());

    assertEquals(restarted.usable(), List.of(upstream("b", false)));
  }

  /** Guards against reports that grow by each upstream that ever left. */
  @Test
  public void announcementIsNotPassedOnForeverOnceTheRegistrationIsGone() {
    registry.announcedLeaving(upstream("a", false));
    registry.removed("a", 0);
    clock.advance(Duration.ofSeconds(30));

    assertEquals(registry.recentAnnouncements(), List.of());
  }

  private static RegisteredUpstream upstreamIn(String id, String domain) {
    return new RegisteredUpstream(id, "pool", "10.0.0.1:80", domain, "v1", 4, 1, 0, false);
  }

  /** Guards against requests to an upstream that registers, or stays, in an evacuated domain. */
  @Test
  public void upstreamsInAnEvacuatedDomainAreUnusableUntilItEnds() {
    registry.registered(upstreamIn("c", "e"));
    registry.evacuationStarted("d");
    registry.registered(upstream("a", false));
    assertEquals(usable(), List.of("c"));

    registry.evacuationEnded("d");
    assertEquals(usable(), List.of("a", "b", "c"));
  }

  /** Guards against an upstream without a failure domain that counts as evacuated. */
  @Test
  public void upstreamWithoutDomainIsNotEvacuated() {
    registry.registered(upstreamIn("c", ""));
    registry.evacuationStarted("d");

    assertEquals(usable(), List.of("c"));
  }

  /** Guards against a full list that ends evacuations, or keeps one that was removed. */
  @Test
  public void fullListReplacesEvacuations() {
    registry.registered(upstreamIn("c", "e"));
    registry.evacuationStarted("d");
    registry.replaceEvacuations(Set.of("d"), SECOND);
    assertEquals(usable(), List.of("c"));

    registry.replaceEvacuations(Set.of("e"), SECOND);
    assertEquals(usable(), List.of("a", "b"));
  }

  /**
   * Guards against ending an evacuation that the copy of a restored store lacks before the
   * operators could repeat it, and against keeping it for ever.
   */
  @Test
  public void evacuationThatACopyLacksHoldsForTheGracePeriod() {
    registry.evacuationStarted("d");
    registry.sourceRestored(10 * SECOND);
    registry.replaceEvacuations(Set.of(), 10 * SECOND);
    registry.replaceEvacuations(Set.of(), 11 * SECOND);

    assertFalse(registry.expire(12 * SECOND));
    assertEquals(usable(), List.of());
    assertTrue(registry.expire(12_200_000_000L));
    assertEquals(usable(), List.of("a", "b"));
  }

  /** Guards against ending an evacuation that the operators repeated in time. */
  @Test
  public void evacuationRepeatedAfterARestorationStays() {
    registry.evacuationStarted("d");
    registry.sourceRestored(10 * SECOND);
    registry.replaceEvacuations(Set.of(), 10 * SECOND);
    registry.evacuationStarted("d");
    registry.expire(20 * SECOND);

    assertEquals(usable(), List.of());
  }

  /** Guards against an evacuation that ends in an outage, in which nobody can repeat it. */
  @Test
  public void gracePeriodOfAnEvacuationDoesNotEndInAnOutage() {
    registry.evacuationStarted("d");
    registry.sourceRestored(10 * SECOND);
    registry.replaceEvacuations(Set.of(), 10 * SECOND);
    registry.sourceLost(10 * SECOND);
    registry.expire(20 * SECOND);
    assertEquals(usable(), List.of());

    registry.sourceRegained(20 * SECOND);
    registry.expire(22 * SECOND);
    assertEquals(usable(), List.of());
    registry.expire(23 * SECOND);
    assertEquals(usable(), List.of("a", "b"));
  }

  /** Guards against keeping an evacuation that the operators removed after a restoration. */
  @Test
  public void evacuationRemovedAfterARestorationEndsAtOnce() {
    registry.evacuationStarted("d");
    registry.sourceRestored(10 * SECOND);
    registry.replaceEvacuations(Set.of("d"), 10 * SECOND);
    registry.evacuationEnded("d");

    assertEquals(usable(), List.of("a", "b"));
  }
}
