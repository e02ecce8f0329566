package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cranberrystand.membership.PublishedVersion;
import org.testng.annotations.Test;

public final class PublishedStateTest {
  private static PublishedValue put(String key, long revision) {
    return new PublishedValue(key, revision, "value " + revision);
  }

  private static PublishedValue delete(String key, long revision) {
    return new PublishedValue(key, revision, null);
  }

  private static PublishedVersion version(long revision) {
    return new PublishedVersion(1, revision);
  }

  private static PublishedState start() {
    return new PublishedState(
        version(10), ImmutableMap.of("a", put("a", 3), "b", put("b", 7), "c", put("c", 10)));
  }

  /** Guards against a passive node that keeps values which were deleted in the meantime. */
  @Test
  public void changesBringAnotherNodeToTheSameState() throws IOException {
    PublishedState newer =
        start()
            .withChanges(
                version(14), ImmutableList.of(put("a", 12), delete("b", 13), put("d", 14)));
    PublishedUpdate update = newer.updateSince(version(10));
    byte[] bytes = PublishedStateCodec.encode(update);
    PublishedUpdate read = PublishedStateCodec.decode(new String(bytes, StandardCharsets.UTF_8));

    assertFalse(read.isSnapshot());
    assertEquals(read, update);
    assertEquals(read.applyTo(start()).values(), newer.values());
    assertEquals(read.applyTo(start()).version(), version(14));
  }

  /** Guards against an incremental update that omits deletions which are no longer recorded. */
  @Test
  public void nodeThatLagsTooFarGetsTheWholeState() {
    PublishedState state = start();
    assertTrue(state.updateSince(version(9)).isSnapshot());

    for (int i = 11; i < 1_000; i += 2) {
      state =
          state.withChanges(
              version(i + 1), ImmutableList.of(put("x" + i, i), delete("x" + i, i + 1)));
    }
    assertTrue(state.updateSince(version(20)).isSnapshot());
    assertEquals(
        state.updateSince(version(20)).applyTo(PublishedState.EMPTY).values(), state.values());
    assertFalse(state.updateSince(version(990)).isSnapshot());
  }

  @Test
  public void keyThatIsWrittenAgainIsNotDeleted() {
    PublishedState state =
        start().withChanges(version(12), ImmutableList.of(delete("b", 11), put("b", 12)));

    assertEquals(state.updateSince(version(10)).values(), ImmutableList.of(put("b", 12)));
  }

  /** Guards against applying changes of one era to the state of another one. */
  @Test
  public void nodeOfAnotherEraGetsTheWholeState() {
    PublishedState restored =
        new PublishedState(new PublishedVersion(2, 8), ImmutableMap.of("a", put("a", 3)));
    PublishedUpdate update = restored.updateSince(version(10));

    assertTrue(update.isSnapshot());
    assertTrue(update.isApplicableTo(version(10)));
    assertEquals(update.applyTo(start()), restored);
    assertFalse(start().updateSince(new PublishedVersion(2, 8)).isApplicableTo(restored.version()));
    PublishedUpdate changes =
        new PublishedUpdate(new PublishedVersion(2, 9), false, ImmutableList.of(put("a", 9)));
    assertFalse(changes.isApplicableTo(version(10)));
  }
}
