package org.cranberrystand.wire.bundle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.util.Checked;
import org.testng.annotations.Test;

/** Guards against bundles that change or lose content when they are split into parts. */
public class BundlePartsTest {
  private static final int TEAMS = 200;
  private static final int PARTS = 16;

  @Test
  public void splitBundleHasTheSameContent() {
    Bundle whole = BundleParser.parse("whole", text(1.0)).orElseThrow();
    BundleSplitter.Split split = BundleSplitter.split(text(1.0), PARTS);
    Bundle assembled = assemble(split).orElseThrow();
    assertEquals(
        Sets.newHashSet(assembled.shops().values()), ImmutableSet.copyOf(whole.shops().values()));
    assertEquals(assembled.teams(), whole.teams());
    assertEquals(assembled.version(), whole.version());
    assertTrue(split.main().length() < text(1.0).length() / 4);
  }

  @Test
  public void changeOfOneTeamChangesOnePart() {
    ImmutableSet<String> before = BundleSplitter.split(text(1.0), PARTS).parts().keySet();
    ImmutableSet<String> after = BundleSplitter.split(text(2.0), PARTS).parts().keySet();
    assertEquals(Sets.difference(after, before).size(), 1);
  }

  @Test
  public void missingPartIsReported() {
    BundleSplitter.Split split = BundleSplitter.split(text(1.0), PARTS);
    Checked<Bundle> bundle = BundleParser.parse("main", split.main());
    assertTrue(bundle.findingsOrEmpty().toString().contains("is missing"));
  }

  @Test
  public void alteredPartIsRefused() {
    BundleSplitter.Split split = BundleSplitter.split(text(1.0), PARTS);
    BundlePartCache cache = new BundlePartCache();
    split
        .parts()
        .forEach(
            (digest, part) ->
                assertTrue(
                    cache.add(digest, part.replace("weight = 1.0", "weight = 9.0"))
                        instanceof Checked.Invalid));
    assertEquals(cache.size(), 0);
  }

  private static Checked<Bundle> assemble(BundleSplitter.Split split) {
    BundlePartCache cache = new BundlePartCache();
    split.parts().forEach(cache::add);
    assertTrue(cache.missing(BundleParser.partDigests(split.main())).isEmpty());
    return BundleParser.parse("main", split.main(), cache::find);
  }

  private static String text(double weightOfFirst) {
    StringBuilder text = new StringBuilder("version = 4\n\n");
    text.append("[[pools]]\nname = \"orders\"\ntype = \"service\"\n\n");
    text.append("[[kinds]]\nname = \"stock-check\"\ntier = \"urgent\"\npool = \"orders\"\n\n");
    for (int i = 0; i < TEAMS; i++) {
      double weight = i == 0 ? weightOfFirst : 1.0;
      text.append("[[teams]]\nname = \"team-%d\"\nweight = %s\n\n".formatted(i, weight));
      text.append(
          "[[shops]]\nname = \"shop-%d\"\nteam = \"team-%d\"\nkinds = [\"stock-check\"]\n\n"
              .formatted(i, i));
    }
    return text.toString();
  }
}
