package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.Test;

/** Guards against odd entries that hide what the history of the store does not tell. */
public final class RetainedChangesTest {
  private static final long SINCE_MILLIS = 1_000;

  /** Decodes the text "odd" as unusable, and all else as the version of an upstream. */
  private static final class VersionDecoder implements PublishedDecoder {
    @Override
    public Decoded decode(PublishedValue value) {
      return value.text().equals("odd")
          ? new Ignored("odd")
          : new Registration(
              new RegisteredUpstream(
                  value.key(), "llm", "10.0.0.1:80", "d", value.text(), 4, SINCE_MILLIS, 0, false),
              ImmutableList.of());
    }

    @Override
    public PublishedValue reduce(PublishedValue value) {
      return value;
    }

    @Override
    public String upstreamId(String key) {
      return key;
    }

    @Override
    public String evacuatedDomain(String key) {
      return "";
    }
  }

  private static RetainedChanges read(PublishedValue... changes) {
    return new RetainedChanges(new VersionDecoder(), List.of(changes), SINCE_MILLIS);
  }

  /** Guards against a stream that goes on at another version than the one it began at. */
  @Test
  public void oddEntryHidesThatAnEarlierVersionIsUnknown() {
    PublishedValue odd = new PublishedValue("a", 20, 5, "odd");
    PublishedValue sound = new PublishedValue("a", 21, 5, "v2");

    assertTrue(read(odd, sound).hasUnknownRegistration());
  }

  /** Guards against resumed streams that are refused because of an entry that never was sound. */
  @Test
  public void oddEntryMakesThePastUnknown() {
    PublishedValue rewritten = new PublishedValue("a", 20, 5, "odd");
    assertFalse(read(rewritten).hasUnknownRegistration());
    assertFalse(read(rewritten, new PublishedValue("a", 22, null)).hasUnknownRegistration());

    PublishedValue odd = new PublishedValue("a", 20, 20, "odd");
    PublishedValue sound = new PublishedValue("a", 21, 20, "v2");

    assertFalse(read(odd).hasUnknownRegistration());
    assertFalse(read(odd, new PublishedValue("a", 22, null)).hasUnknownRegistration());
    assertFalse(read(odd, sound).hasUnknownRegistration());
    assertEquals(read(odd, sound).upstreams().size(), 1);
  }
}
