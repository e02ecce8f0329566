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
    registry.replaceAll(List.of(upstream("a", false), upstream("b", false)), 0);
  }

  private static RegisteredUpstream upstream(String id, boolean leaving) {
    return new RegisteredUpstream(id, "pool", "10.0.0.1:80", "d", 4, 1, 0, leaving);
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

  /**
   * Guards against losing all upstreams when their entries expire during an outage of the store.
   */
  @Test
  public void expiredEntryIsKeptForTheGracePeriod() {
    registry.sourceLost();
    registry.sourceRegained(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertEquals(usable(), List.of("a", "b"));
    assertFalse(registry.expire(12 * SECOND));
    assertTrue(registry.expire(13 * SECOND));
    assertEquals(usable(), List.of("b"));
  }

  @Test
  public void upstreamThatRegistersAgainIsKept() {
    registry.sourceLost();
    registry.sourceRegained(10 * SECOND);
    registry.replaceAll(List.of(upstream("b", false)), 10 * SECOND);
    registry.registered(upstream("a", false));

    assertFalse(registry.expire(20 * SECOND));
    assertEquals(usable(), List.of("a", "b"));
  }

  /**
   * Guards against requests to an upstream that was leaving before the store became unavailable.
   */
  @Test
  public void leavingUpstreamGetsNoGracePeriod() {
    registry.registered(upstream("a", true));
    registry.sourceLost();
    registry.sourceRegained(10 * SECOND);
    registry.removed("a", 10 * SECOND);

    assertEquals(usable(), List.of("b"));
  }
}
