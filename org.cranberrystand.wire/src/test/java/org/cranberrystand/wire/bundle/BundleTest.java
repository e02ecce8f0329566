package org.cranberrystand.wire.bundle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.List;
import java.util.Random;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Finding;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.TextMutator;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public final class BundleTest {
  private static final int FUZZ_ROUNDS = 3_000;

  private String example;

  @BeforeClass
  public void readExample() throws IOException {
    example = Files.readString(Path.of("..", "config", "bundle.toml"));
  }

  @Test
  public void exampleHasNoFindingsAndKeepsItsContentWhenRendered() {
    Bundle bundle = BundleParser.parse("bundle.toml", example).orElseThrow();
    Bundle rendered = BundleParser.parse("rendered", BundleRenderer.render(bundle)).orElseThrow();

    assertEquals(BundleDiff.between(bundle, rendered), List.of());
    assertEquals(rendered.kinds().size(), 5);
  }

  @Test
  public void allFindingsAreReportedInOnePassWithTheirLines() {
    String text =
        """
        version = 1
        [[kinds]]
        name = "a"
        tier = "urgnt"
        pool = "none"
        max_retries = 99
        [[shops]]
        name = "s"
        team = "t"
        colour = 1
        """;

    List<Finding> findings = BundleParser.parse("b.toml", text).findingsOrEmpty();

    assertEquals(findings.stream().map(Finding::line).toList(), List.of(4, 5, 6, 9, 10));
    assertEquals(
        findings.stream().map(Finding::key).toList(),
        List.of(
            "kinds.0.tier",
            "kinds.0.pool",
            "kinds.0.max_retries",
            "shops.0.team",
            "shops.0.colour"));
  }

  @Test
  public void diffReportsTheChangesOfEachSection() {
    String changed =
        example
            .replace("deadline_ms = 4000", "deadline_ms = 4500")
            .replace("weight = 2.0", "weight = 3.0")
            .replace("refusal_statuses = [429]", "refusal_statuses = []")
            .replace("guaranteed_share = 0.0", "guaranteed_share = 0.05")
            .replace("name = \"estrela-workshop\"", "name = \"estrela-2\"");
    Bundle before = BundleParser.parse("a", example).orElseThrow();
    Bundle after = BundleParser.parse("b", changed).orElseThrow();

    List<String> changes =
        BundleDiff.between(before, after).stream().map(Object::toString).toList();

    assertEquals(changes.size(), 6, changes.toString());
    assertEquals(changes.get(0), "~ kind counter-question deadline_ms: 4000 -> 4500");
    assertEquals(changes.get(1), "~ pool orders refusal_statuses: [429] -> []");
    assertTrue(changes.get(2).startsWith("- shop estrela-workshop"), changes.get(2));
    assertTrue(changes.get(3).startsWith("+ shop estrela-2"), changes.get(3));
    assertEquals(changes.get(4), "~ team estrela weight: 2.0 -> 3.0");
    assertEquals(changes.get(5), "~ share urgent guaranteed_share: 0.0 -> 0.05");
  }

  /**
   * Guards against a rollback that nodes refuse because its version is not higher than the version
   * of the active bundle.
   */
  @Test
  public void successorHasOldContentNextVersionAndPredecessor() {
    Bundle oldContent = BundleParser.parse("a", example).orElseThrow();
    Bundle current = BundleParser.parse("b", "version = 41").orElseThrow();

    String text = BundleRevision.createSuccessor(example, oldContent, current);
    Bundle revised = BundleParser.parse("c", text).orElseThrow();

    assertEquals(revised.version(), 42);
    assertEquals(revised.predecessorDigest(), current.digest());
    assertEquals(BundleDiff.between(oldContent, revised), List.of());
    assertTrue(text.contains("# Kinds of work."), "comments must be kept");
    String unusualLayout = "teams = [\n{name = \"a\"},\n]\nversion\t=\t1";
    Bundle unusualBundle = BundleParser.parse("d", unusualLayout).orElseThrow();
    assertEquals(
        BundleParser.parse(
                "e", BundleRevision.createSuccessor(unusualLayout, unusualBundle, current))
            .orElseThrow()
            .version(),
        42);
    String escaped = "\"vers\\u0069on\" = 1";
    Bundle escapedBundle = BundleParser.parse("f", escaped).orElseThrow();
    assertThrows(
        IllegalArgumentException.class,
        () -> BundleRevision.createSuccessor(escaped, escapedBundle, current));
  }

  /** Guards against malformed input that throws an exception instead of giving findings. */
  @Test
  public void parserNeverThrowsOnMutatedText() {
    int valid = 0;
    for (int seed = 0; seed < FUZZ_ROUNDS; seed++) {
      String mutated = new TextMutator(seed).mutate(example);
      try {
        valid += BundleParser.parse("fuzz", mutated) instanceof Checked.Valid ? 1 : 0;
      } catch (RuntimeException | StackOverflowError e) {
        throw new AssertionError("seed " + seed + ":\n" + mutated, e);
      }
    }
    assertTrue(
        valid > 0 && valid < FUZZ_ROUNDS,
        "mutations must give valid and invalid texts; valid: " + valid);
  }

  /** Guards against altered content that is accepted with a signature of the original content. */
  @Test
  public void alteredSignedBundleIsNeverAccepted() throws IOException {
    KeyPair keys = BundleSignatures.generateKeyPair();
    BundleSignatures verifier =
        new BundleSignatures(ImmutableMap.of("ops", BundleSignatures.encodeKey(keys.getPublic())));
    SignedBundle signed = BundleSignatures.sign(example, "ops", keys.getPrivate());
    byte[] published = Json.toBytes(signed);
    assertTrue(verifier.verify("x", signed) instanceof Checked.Valid);
    for (int seed = 0; seed < FUZZ_ROUNDS; seed++) {
      byte[] altered = published.clone();
      Random random = new Random(seed);
      altered[random.nextInt(altered.length)] ^= (byte) (1 << random.nextInt(8));
      assertRefusedOrUnchanged(verifier, altered, signed, seed);
      String text = new TextMutator(seed).mutate(new String(published, StandardCharsets.UTF_8));
      assertRefusedOrUnchanged(verifier, text.getBytes(StandardCharsets.UTF_8), signed, seed);
    }
  }

  private static void assertRefusedOrUnchanged(
      BundleSignatures verifier, byte[] altered, SignedBundle original, long seed) {
    SignedBundle read;
    try {
      read = Json.read(altered, SignedBundle.class);
    } catch (IOException e) {
      return;
    }
    Checked<Bundle> result = verifier.verify("fuzz", read);
    if (result instanceof Checked.Valid) {
      assertEquals(read.bundle(), original.bundle(), "seed " + seed);
    }
  }
}
