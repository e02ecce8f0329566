package org.cranberrystand.wire.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Guards against lost, spurious or split events at chunk boundaries. */
public class SseParserTest {
  private static final int MAX_EVENT_BYTES = 200;
  private static final int ROUNDS = 20_000;

  @Test
  public void eventsAreParsedWithAnyChunkBoundary() throws IOException {
    List<SseEvent> events =
        List.of(
            new SseEvent(0, "", "{\"text\":\"m\u00e9dio \u7d20\"}"),
            new SseEvent(-1, "error", "two\nlines"),
            new SseEvent(1, "", SseEvent.DONE));
    for (String newline : new String[] {"\n", "\r\n", "\r"}) {
      StringBuilder text = new StringBuilder();
      events.forEach(event -> text.append(event.toText()));
      byte[] bytes = text.toString().replace("\n", newline).getBytes(StandardCharsets.UTF_8);
      for (int cut = 0; cut <= bytes.length; cut++) {
        SseParser parser = new SseParser(MAX_EVENT_BYTES);
        List<SseEvent> parsed = new ArrayList<>(parser.feed(Arrays.copyOf(bytes, cut)));
        parsed.addAll(parser.feed(Arrays.copyOfRange(bytes, cut, bytes.length)));
        assertEquals(parsed, events, "cut at " + cut);
      }
    }
  }

  @Test
  public void truncatedEventIsNeverReturned() throws IOException {
    byte[] bytes = new SseEvent(3, "", SseEvent.DONE).toText().getBytes(StandardCharsets.UTF_8);
    for (int length = 0; length < bytes.length; length++) {
      SseParser parser = new SseParser(MAX_EVENT_BYTES);
      assertTrue(parser.feed(Arrays.copyOf(bytes, length)).isEmpty(), "length " + length);
    }
  }

  @Test
  public void endMarkerWithinOtherDataIsNotTheEnd() throws IOException {
    String text = "id: 0\ndata: {\"text\":\"data: [DONE]\"}\n\n";
    List<SseEvent> events =
        new SseParser(MAX_EVENT_BYTES).feed(text.getBytes(StandardCharsets.UTF_8));
    assertEquals(events.size(), 1);
    assertTrue(events.stream().noneMatch(SseEvent::isDone));
  }

  @Test
  public void tooLongEventIsRefused() {
    byte[] bytes = "data: x\n".repeat(MAX_EVENT_BYTES).getBytes(StandardCharsets.UTF_8);
    assertThrows(SseFormatException.class, () -> new SseParser(MAX_EVENT_BYTES).feed(bytes));
  }

  @Test
  public void malformedInputThrowsOnlyFormatExceptions() {
    Random random = new Random(20_261_203);
    String alphabet = "id: dataevent\n\r\r\n\n:0123456789-[DONE]\u0000\u00ff";
    int refused = 0;
    for (int i = 0; i < ROUNDS; i++) {
      StringBuilder text = new StringBuilder();
      for (int length = random.nextInt(80); length > 0; length--) {
        text.append(alphabet.charAt(random.nextInt(alphabet.length())));
      }
      if (random.nextInt(3) == 0) {
        text.insert(random.nextInt(text.length() + 1), "\nid: " + random.nextLong() + "x\n");
      }
      byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
      try {
        SseParser parser = new SseParser(MAX_EVENT_BYTES);
        int cut = random.nextInt(bytes.length + 1);
        parser.feed(Arrays.copyOf(bytes, cut));
        parser.feed(Arrays.copyOfRange(bytes, cut, bytes.length));
      } catch (SseFormatException e) {
        refused++;
      }
    }
    assertTrue(refused > 0 && refused < ROUNDS, "refused " + refused);
  }

  @Test
  public void malformedCompletionBodiesThrowOnlyIoExceptions() {
    Random random = new Random(7);
    String valid = "{\"prompt\":\"a\",\"max_tokens\":3,\"stream\":true}";
    for (int i = 0; i < ROUNDS; i++) {
      byte[] bytes = valid.getBytes(StandardCharsets.UTF_8);
      for (int edits = random.nextInt(4); edits > 0; edits--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try {
        CompletionRequest request =
            CompletionRequest.parse(Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
        assertTrue(request.maxTokens() >= 0);
      } catch (IOException e) {
        assertTrue(e.getMessage() != null);
      }
    }
  }
}
