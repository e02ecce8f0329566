package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class EventSplitterTest {
  private EventSplitter splitter;

  @BeforeMethod
  public void startWithoutBytes() {
    splitter = new EventSplitter();
  }

  private String add(String text) {
    return splitter
        .add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
        .toString(StandardCharsets.UTF_8);
  }

  /** Guards against forwarding a part of an event that another upstream then sends again. */
  @Test
  public void onlyWholeEventsAreTaken() {
    assertEquals(add("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assertEquals(splitter.lastEventId(), "1");
    assertTrue(splitter.hasPartialEvent());
    assertEquals(add("ta: b\n"), "");
    assertEquals(add("\n"), "id: 2\ndata: b\n\n");
    assertEquals(splitter.lastEventId(), "2");
    assertFalse(splitter.hasPartialEvent());
  }

  /**
   * Guards against counting the data of an event as events, and against a wrong last identifier.
   */
  @Test
  public void identifiersAreReadAtTheStartOfLinesOnly() {
    add("id: 4\ndata: id: 9 id: 8\n\nid: 5\ndata: x\n\n");

    assertEquals(splitter.takeEventCount(), 2);
    assertEquals(splitter.lastEventId(), "5");
    assertTrue(splitter.beginsAfter("3"));
    assertFalse(splitter.beginsAfter("4"));
    assertTrue(splitter.beginsAfter("x"));
  }

  @Test
  public void lineEndsWithCarriageReturnsAreRead() {
    assertEquals(add("id: 7\r\ndata: a\r\n\r"), "");
    assertEquals(add("\n"), "id: 7\r\ndata: a\r\n\r\n");
    assertEquals(splitter.lastEventId(), "7");
  }

  @Test
  public void everyCutOfAStreamGivesTheSameBytes() {
    String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (int cut = 1; cut < stream.length(); cut++) {
      EventSplitter fresh = new EventSplitter();
      StringBuilder out = new StringBuilder();
      for (String part : new String[] {stream.substring(0, cut), stream.substring(cut)}) {
        out.append(
            fresh
                .add(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8))
                .toString(StandardCharsets.UTF_8));
      }
      assertEquals(out.toString(), stream, "cut at " + cut);
    }
  }
}
