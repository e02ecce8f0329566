package org.cranberrystand.identity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.testng.annotations.Test;

/** Guards against decoders that accept forged identifiers or throw on malformed input. */
public class IdentifierTextTest {
  private static final int ALTERED_TEXT_COUNT = 50_000;
  private static final String ALPHABET = "abcXYZ019._-=+/\n\u0000\u00e4\ud800?";

  private final byte[] oldKey = "old-key".getBytes(StandardCharsets.UTF_8);
  private final byte[] newKey = "new-key".getBytes(StandardCharsets.UTF_8);
  private final RequestIdCodec ids = new RequestIdCodec(ImmutableList.of(newKey, oldKey));
  private final ResumeReferenceCodec references =
      new ResumeReferenceCodec(ImmutableList.of(newKey, oldKey));
  private final RequestId id = new RequestId(new Incarnation("node-0", -7), 123_456);
  private final ResumeReference reference =
      new ResumeReference("assistant-0", "assistant-0-17", "node-0.x.y.z", "lajeado-counter");

  @Test
  public void alteredRequestIdentifierIsNeverAccepted() {
    assertEquals(ids.decode(ids.encode(id)), Optional.of(id));
    assertAlteredTextsAreRejected(ids.encode(id), ids::decode, 1);
  }

  @Test
  public void alteredResumeReferenceIsNeverAccepted() {
    String text = references.encode(reference).orElseThrow();
    assertEquals(references.decode(text), Optional.of(reference));
    assertAlteredTextsAreRejected(text, references::decode, 2);
  }

  @Test
  public void signatureOfAnOldKeyIsAcceptedAndOfAnUnknownKeyIsRejected() {
    RequestIdCodec old = new RequestIdCodec(ImmutableList.of(oldKey));
    assertTrue(ids.decode(old.encode(id)).isPresent());
    assertFalse(old.decode(ids.encode(id)).isPresent());
    ResumeReferenceCodec oldReferences = new ResumeReferenceCodec(ImmutableList.of(oldKey));
    String text = references.encode(reference).orElseThrow();
    assertFalse(oldReferences.decode(text).isPresent());
  }

  @Test
  public void partWithSeparatorIsNotEncoded() {
    ResumeReference shifted = new ResumeReference("a\nb", "c", "d", "e");
    assertFalse(references.encode(shifted).isPresent());
  }

  private static <T> void assertAlteredTextsAreRejected(
      String text, Function<String, Optional<T>> decoder, long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < ALTERED_TEXT_COUNT; i++) {
      StringBuilder altered = new StringBuilder(text);
      for (int edits = 1 + random.nextInt(3); edits > 0 && altered.length() > 0; edits--) {
        int at = random.nextInt(altered.length());
        char other = ALPHABET.charAt(random.nextInt(ALPHABET.length()));
        switch (random.nextInt(4)) {
          case 0 -> altered.setCharAt(at, other);
          case 1 -> altered.insert(at, other);
          case 2 -> altered.deleteCharAt(at);
          default -> altered.setLength(at);
        }
      }
      if (!altered.toString().equals(text)) {
        assertFalse(
            decoder.apply(altered.toString()).isPresent(), "accepted altered text: " + altered);
      }
    }
  }
}
