package org.cranberrystand.wire.bundle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.util.Checked;
import org.testng.annotations.Test;

/** Guards against bundles whose content changes when they are split into parts. */
public class BundlePartsTest {
  private static final int TEAM_COUNT = 200;
  private static final int PART_COUNT = 16;

  @Test
  public void splitBundleHasTheSameContent() {
    Bundle whole = BundleParser.parse("whole", text(1.0)).orElseThrow();
    BundleSplitter.Split split = BundleSplitter.split(text(1.0), PART_COUNT);
    Bundle reassembled = reassemble(split).orElseThrow();
    assertEquals(
        Sets.newHashSet(reassembled.shops().values()), ImmutableSet.copyOf(whole.shops().values()));
    assertEquals(reassembled.teams(), whole.teams());
    assertEquals(reassembled.version(), whole.version());
    assertTrue(split.manifest().length() < text(1.0).length() / 4);
  }

  @Test
  public void changeOfOneTeamChangesOnePart() {
    ImmutableSet<String> before = BundleSplitter.split(text(1.0), PART_COUNT).parts().keySet();
    ImmutableSet<String> after = BundleSplitter.split(text(2.0), PART_COUNT).parts().keySet();
    assertEquals(Sets.difference(after, before).size(), 1);
  }

  @Test
  public void missingPartIsReported() {
    BundleSplitter.Split split = BundleSplitter.split(text(1.0), PART_COUNT);
    Checked<Bundle> bundle = BundleParser.parse("main", split.manifest());
    assertTrue(bundle.findingsOrEmpty().toString().contains("is missing"));
  }

  @Test
  public void alteredPartIsRefused() {
    BundleSplitter.Split split = BundleSplitter.split(text(1.0), PART_COUNT);
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

  private static Checked<Bundle> reassemble(BundleSplitter.Split split) {
    BundlePartCache cache = new BundlePartCache();
    split.parts().forEach(cache::add);
    assertTrue(cache.findMissing(BundleParser.partDigests(split.manifest())).isEmpty());
    return BundleParser.parse("main", split.manifest(), cache::find);
  }

  private static String text(double weightOfFirstTeam) {
    StringBuilder text = new StringBuilder("version = 4\n\n");
    text.append("[[pools]]\nname = \"orders\"\ntype = \"service\"\n\n");
    text.append("[[kinds]]\nname = \"stock-check\"\ntier = \"urgent\"\npool = \"orders\"\n\n");
    for (int i = 0; i < TEAM_COUNT; i++) {
      double weight = i == 0 ? weightOfFirstTeam : 1.0;
      text.append("[[teams]]\nname = \"team-%d\"\nweight = %s\n\n".formatted(i, weight));
      text.append(
          "[[shops]]\nname = \"shop-%d\"\nteam = \"team-%d\"\nkinds = [\"stock-check\"]\n\n"
              .formatted(i, i));
    }
    return text.toString();
  }
}
