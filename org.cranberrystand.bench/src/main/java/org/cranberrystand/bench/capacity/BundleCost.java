package org.cranberrystand.bench.capacity;

import java.security.KeyPair;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.BundlePartCache;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.BundleSplitter;
import org.cranberrystand.wire.bundle.SignedBundle;

/** Measures the time of a bundle change on a node for bundles of different sizes. */
public final class BundleCost {
  /** Numbers of teams to measure; the last one is the planned size. */
  static final int[] TEAM_COUNTS = {5, 1_000, 4_000, 24_000};

  static final int PART_COUNT = 128;
  private static final int REPETITIONS = 15;
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Cost of a bundle change that affects one team.
   *
   * @param teams the number of teams, each with one shop
   * @param wholeBytes the size of the bundle as a single text
   * @param manifestBytes the size of the manifest
   * @param partBytes the mean size of a part
   * @param wholeMillis median time to verify and parse the bundle as a single text
   * @param changeMillis median time to verify the manifest and parse one changed part
   */
  public record Result(
      int teams,
      int wholeBytes,
      int manifestBytes,
      int partBytes,
      double wholeMillis,
      double changeMillis) {}

  private final KeyPair keys = BundleSignatures.generateKeyPair();
  private final BundleSignatures signatures =
      new BundleSignatures(Map.of("bench", BundleSignatures.encodeKey(keys.getPublic())));

  /**
   * Measures bundles of all sizes.
   *
   * @return one result per number of teams
   */
  public List<Result> measure() {
    List<Result> results = new ArrayList<>();
    for (int teams : TEAM_COUNTS) {
      results.add(measure(teams));
    }
    return results;
  }

  private Result measure(int teams) {
    String whole = text(teams, 1.0);
    SignedBundle signedWhole = BundleSignatures.sign(whole, "bench", keys.getPrivate());
    BundleSplitter.Split before = BundleSplitter.split(whole, PART_COUNT);
    BundleSplitter.Split after = BundleSplitter.split(text(teams, 2.0), PART_COUNT);
    SignedBundle signedManifest =
        BundleSignatures.sign(after.manifest(), "bench", keys.getPrivate());
    double wholeMillis = medianMillis(() -> signatures.verify("whole", signedWhole).orElseThrow());
    BundlePartCache cache = new BundlePartCache();
    before.parts().forEach(cache::add);
    double changeMillis = medianMillis(() -> apply(signedManifest, after, before, cache));
    int partBytes =
        (int) after.parts().values().stream().mapToInt(String::length).average().orElse(0);
    return new Result(
        teams, whole.length(), after.manifest().length(), partBytes, wholeMillis, changeMillis);
  }

  private Object apply(
      SignedBundle manifest,
      BundleSplitter.Split after,
      BundleSplitter.Split before,
      BundlePartCache cache) {
    cache.retain(before.parts().keySet());
    if (!signatures.isTrusted(manifest)) {
      throw new IllegalStateException("the signature of the manifest is not trusted");
    }
    for (String digest : cache.findMissing(BundleParser.partDigests(manifest.bundle()))) {
      cache.add(digest, after.parts().get(digest)).orElseThrow();
    }
    return ((Checked<?>) signatures.verify("main", manifest, cache::find)).orElseThrow();
  }

  private static double medianMillis(Runnable task) {
    double[] millis = new double[REPETITIONS];
    for (int i = 0; i < REPETITIONS; i++) {
      long startNanos = System.nanoTime();
      task.run();
      millis[i] = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
    Arrays.sort(millis);
    return millis[REPETITIONS / 2];
  }

  private static String text(int teams, double firstTeamWeight) {
    StringBuilder text = new StringBuilder("version = 2\n\n");
    for (int pool = 0; pool < 4; pool++) {
      text.append("[[pools]]\nname = \"model-%d\"\ntype = \"model\"\n\n".formatted(pool));
      text.append(
          "[[kinds]]\nname = \"kind-%d\"\ntier = \"urgent\"\npool = \"model-%d\"\n\n"
              .formatted(pool, pool));
    }
    for (int i = 0; i < teams; i++) {
      double weight = i == 0 ? firstTeamWeight : 1.0;
      text.append("[[teams]]\nname = \"team-%05d\"\nweight = %s\n".formatted(i, weight));
      text.append(
          "[[shops]]\nname = \"shop-%05d\"\nteam = \"team-%05d\"\nkinds = [\"kind-%d\"]\n"
              .formatted(i, i, i % 4));
    }
    return text.toString();
  }
}
