package org.cranberrystand.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class UpstreamRegistryTest {
  private static final long SECOND = 1_000_000_000L;
  private UpstreamRegistry registry;

  @BeforeMethod
  public void registerTwo() {
    registry = new UpstreamRegistry();
    registry.relisted(List.of(upstream("a", false), upstream("b", false)), 0);
  }

  private static RegisteredUpstream upstream(String id, boolean leaving) {
    return new RegisteredUpstream(id, "pool", "10.0.0.1:80", "d", 4, 1, 0, leaving);
  }

  private List<String> usable() {
    return registry.usable().stream().map(RegisteredUpstream::id).toList();
  }

  @Test
  public void removedUpstreamGetsNothingMoreWhileTheSourceIsSound() {
    registry.removed("a", SECOND);

    assertEquals(usable(), List.of("b"));
  }

  @Test
  public void leavingUpstreamGetsNothingMore() {
    registry.registered(upstream("a", true));

    assertEquals(usable(), List.of("b"));
  }

  /** Guards against dropping all upstreams because their entries expired with the store away. */
  @Test
  public void expiredEntryIsKeptUntilItsUpstreamHadTimeToReturn() {
    registry.sourceLost();
    registry.sourceRegained(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertEquals(usable(), List.of("a", "b"));
    assertFalse(registry.expire(12 * SECOND));
    assertTrue(registry.expire(13 * SECOND));
    assertEquals(usable(), List.of("b"));
  }

  @Test
  public void upstreamThatRegistersAgainStays() {
    registry.sourceLost();
    registry.sourceRegained(10 * SECOND);
    registry.relisted(List.of(upstream("b", false)), 10 * SECOND);
    registry.registered(upstream("a", false));

    assertFalse(registry.expire(20 * SECOND));
    assertEquals(usable(), List.of("a", "b"));
  }

  /** Guards against requests to an upstream that said it leaves before the store went away. */
  @Test
  public void leavingUpstreamIsNotKeptForItsReturn() {
    registry.registered(upstream("a", true));
    registry.sourceLost();
    registry.sourceRegained(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertEquals(usable(), List.of("b"));
  }
}
