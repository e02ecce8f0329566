package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

public final class PublishedStateTest {
  private static PublishedValue put(String key, long revision) {
    return new PublishedValue(key, revision, "value " + revision);
  }

  private static PublishedValue delete(String key, long revision) {
    return new PublishedValue(key, revision, null);
  }

  private static PublishedState start() {
    return new PublishedState(
        10, ImmutableMap.of("a", put("a", 3), "b", put("b", 7), "c", put("c", 10)));
  }

  /** Guards against a node that keeps what was deleted while another read the store for it. */
  @Test
  public void changesBringAnotherNodeToTheSameState() throws IOException {
    PublishedState newer =
        start().with(14, ImmutableList.of(put("a", 12), delete("b", 13), put("d", 14)));
    PublishedUpdate update = newer.since(10);
    byte[] bytes = PublishedStateCodec.encode(update);
    PublishedUpdate read = PublishedStateCodec.decode(new String(bytes, StandardCharsets.UTF_8));

    assertFalse(read.whole());
    assertEquals(read, update);
    assertEquals(read.appliedTo(start()).values(), newer.values());
    assertEquals(read.appliedTo(start()).revision(), 14);
  }

  /** Guards against changes that leave out deletions that are not remembered. */
  @Test
  public void nodeThatLagsTooFarGetsTheWholeState() {
    PublishedState state = start();
    assertTrue(state.since(9).whole());

    for (int i = 11; i < 1_000; i += 2) {
      state = state.with(i + 1, ImmutableList.of(put("x" + i, i), delete("x" + i, i + 1)));
    }
    assertTrue(state.since(20).whole());
    assertEquals(state.since(20).appliedTo(PublishedState.EMPTY).values(), state.values());
    assertFalse(state.since(990).whole());
  }

  @Test
  public void keyThatIsWrittenAgainIsNotDeleted() {
    PublishedState state = start().with(12, ImmutableList.of(delete("b", 11), put("b", 12)));

    assertEquals(state.since(10).values(), ImmutableList.of(put("b", 12)));
  }
}
