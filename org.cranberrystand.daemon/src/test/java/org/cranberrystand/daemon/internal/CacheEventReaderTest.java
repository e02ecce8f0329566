package org.cranberrystand.daemon.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.primitives.ImmutableLongArray;
import java.util.List;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.wire.http.CacheEvents;
import org.cranberrystand.wire.http.PrefixBlocks;
import org.testng.annotations.Test;

/** Guards against a scheduler that keeps using its cache index of an engine after lost events. */
public class CacheEventReaderTest {
  private final CacheEventReader reader = new CacheEventReader("assistant-0");

  @Test
  public void lostEventsAreReportedAsGap() {
    assertFalse(read(2, change(1, "a"), change(2, "b")).gap());
    assertTrue(read(4, change(4, "d")).gap(), "event 3 is missing");
    assertTrue(reader.read(new CacheEvents(null, 4), 0).isEmpty());
    assertTrue(read(5).gap(), "event 5 is missing and no event follows");
    assertFalse(read(6, change(6, "e")).gap());
  }

  @Test
  public void restartOfTheEngineIsReportedAsGap() {
    read(9, change(9, "a"));
    assertTrue(read(1, change(1, "b")).gap());
    assertEquals(reader.lastSequence(), 1);
  }

  @Test
  public void malformedHashIsReportedAsGap() {
    SchedulerEvent.CacheReported event = read(1, change(1, "not-a-hash"));
    assertTrue(event.gap());
    assertTrue(event.stored().isEmpty());
  }

  @Test
  public void equalPrefixesHaveEqualHashesAndLaterBlocksDependOnEarlierOnes() {
    String block = "x".repeat(PrefixBlocks.BLOCK_CHARS);
    ImmutableLongArray two = PrefixBlocks.hashesOf(block + block + "rest");
    ImmutableLongArray other = PrefixBlocks.hashesOf(block + "y".repeat(PrefixBlocks.BLOCK_CHARS));
    assertEquals(two.length(), 2);
    assertEquals(two.get(0), other.get(0));
    assertFalse(two.get(0) == two.get(1) || two.get(1) == other.get(1));
  }

  private SchedulerEvent.CacheReported read(long next, CacheEvents.Change... changes) {
    return (SchedulerEvent.CacheReported)
        reader.read(new CacheEvents(List.of(changes), next), 0).orElseThrow();
  }

  private static CacheEvents.Change change(long sequence, String stored) {
    return new CacheEvents.Change(sequence, List.of(stored), List.of());
  }
}
