package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

public final class PublishedVersionTest {
  /** Guards against a node of an older era that overrides a store restored from a copy. */
  @Test
  public void laterEraIsNewerDespiteALowerRevision() {
    PublishedVersion old = new PublishedVersion(1, 100);
    PublishedVersion restored = new PublishedVersion(2, 80);

    assertTrue(restored.isNewerThan(old));
    assertFalse(old.isNewerThan(restored));
    assertFalse(old.isNewerThan(old));
    assertTrue(new PublishedVersion(2, 81).isNewerThan(restored));
  }

  @Test
  public void parsedTextGivesTheSameVersion() {
    PublishedVersion version = new PublishedVersion(3, 17);
    assertEquals(PublishedVersion.parse(version.toString()), Optional.of(version));
  }

  /** Guards against a failed fetch of the state when a node sends a malformed version. */
  @Test
  public void malformedTextGivesNoVersion() {
    for (String text : new String[] {"", "7", "a.b", "1.2.3", "1.", ".2"}) {
      assertEquals(PublishedVersion.parse(text), Optional.empty(), text);
    }
  }
}
