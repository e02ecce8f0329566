package org.cranberrystand.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class VersionHistoryTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long WINDOW = 17 * SECOND;

  private VersionHistory history;

  @BeforeMethod
  public void startWithOne() {
    history = new VersionHistory(0);
    history.registered(upstream("a", "v1"), 0);
  }

  private static RegisteredUpstream upstream(String id, String version) {
    return new RegisteredUpstream(id, "pool", "10.0.0.1:80", "d", version, 4, 1, 0, false);
  }

  private Optional<ImmutableSet<String>> served(long nowNanos) {
    return history.versionsServed("pool", WINDOW, nowNanos);
  }

  /** Guards against taking what is there now for what was there before the node started. */
  @Test
  public void nothingIsKnownFromBeforeTheStart() {
    assertEquals(served(WINDOW - 1), Optional.empty());
    assertEquals(served(WINDOW), Optional.of(Set.of("v1")));
  }

  /** Guards against forgetting a version while streams of it can still be resumed. */
  @Test
  public void versionThatLeftCountsUntilItsStreamsAreTooOld() {
    history.registered(upstream("b", "v2"), SECOND);
    history.removed("b", 30 * SECOND);

    assertEquals(served(30 * SECOND + WINDOW - 1), Optional.of(Set.of("v1", "v2")));
    assertEquals(served(30 * SECOND + WINDOW), Optional.of(Set.of("v1")));
  }

  /** Guards against overlooking an upstream that starts again with another version. */
  @Test
  public void changedVersionCountsAsTwo() {
    history.registered(upstream("a", "v2"), 30 * SECOND);

    assertEquals(served(31 * SECOND), Optional.of(Set.of("v1", "v2")));
    assertEquals(served(31 * SECOND + WINDOW), Optional.of(Set.of("v2")));
  }

  /** Guards against the removal of an upstream of which the node never knew the version. */
  @Test
  public void unknownRemovalMakesThePastUnknown() {
    history.removed("b", 30 * SECOND);

    assertFalse(history.covers(WINDOW, 31 * SECOND));
    assertTrue(history.covers(WINDOW, 30 * SECOND + WINDOW));
  }

  /** Guards against a foreign entry whose removal makes the past unknown. */
  @Test
  public void removalOfAnUnusableRegistrationIsKnown() {
    history.unusable("b", SECOND);
    history.removed("b", 30 * SECOND);

    assertEquals(served(31 * SECOND), Optional.of(Set.of("v1")));
  }

  /** Guards against a complete list that hides what happened while changes were missed. */
  @Test
  public void restartForgetsThePast() {
    history.restart(30 * SECOND);
    history.registered(upstream("a", "v1"), 30 * SECOND);

    assertFalse(history.covers(WINDOW, 31 * SECOND));
  }

  /** Guards against a history of the store that is not taken into account, or for too long. */
  @Test
  public void earlierRegistrationsExtendThePast() {
    history.extend(List.of(upstream("a", "v1"), upstream("b", "v2")), -20 * SECOND);

    assertEquals(served(0), Optional.of(Set.of("v1", "v2")));
    assertEquals(served(WINDOW), Optional.of(Set.of("v1")));
  }
}
