package org.cranberrystand.wire.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Finding;
import org.cranberrystand.wire.TextMutator;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public final class NodeSettingsParserTest {
  private static final int FUZZ_ROUNDS = 3_000;

  private String example;

  @BeforeClass
  public void readExample() throws IOException {
    example = Files.readString(Path.of("..", "config", "node.toml"));
  }

  @Test
  public void exampleIsValidAndItsLimitsAreTheDefaults() {
    NodeSettings settings = NodeSettingsParser.parse("node.toml", example).orElseThrow();

    assertEquals(settings.limits(), NodeSettings.Limits.defaults());
  }

  @Test
  public void allDefectsAreReportedInOnePassWithLineAndKey() {
    String broken =
        example
            .replace("node = \"node-1\"", "node = \"Node 1\"")
            .replace("\"127.0.0.1:7301\"", "\"127.0.0.1:7101\"")
            .replace("vm_list = \"127.0.0.1:7000\"", "vm_list = \"platform:7000\"")
            .replace("[\"replace-this-fleet-key-1\"]", "[\"short\"]")
            .replace("max_body_bytes = 4194304", "max_body_bytes = 1");

    List<Finding> findings = NodeSettingsParser.parse("node.toml", broken).findingsOrEmpty();

    assertEquals(
        findings.stream().map(Finding::key).toList(),
        List.of(
            "node",
            "listen.operators",
            "platform.vm_list",
            "security.fleet_keys",
            "limits.max_body_bytes"));
    for (Finding finding : findings) {
      String line = broken.lines().toList().get(finding.line() - 1);
      String key = finding.key().substring(finding.key().lastIndexOf('.') + 1);
      assertTrue(line.startsWith(key), finding + " is not on: " + line);
    }
  }

  @Test
  public void invalidSecretsSeedsAndTrustedKeysAreReported() {
    String keys = "[\"replace-this-fleet-key-1\"]";
    assertFinding(
        example.replace(keys, "[\"0123456789abcdef\", \"1123456789abcdef\", \"2123456789abcdef\"]"),
        "security.fleet_keys");
    assertFinding(
        example.replace(keys, "[\"replace-this-operator-token\"]"), "security.operator_token");
    assertFinding(example.replace("7202", "7201"), "seeds");
    int table = example.indexOf("[[security.trusted_keys]]");
    int end = example.indexOf("[limits]");
    assertFinding(example.substring(0, table) + example.substring(end), "security.trusted_keys");
    assertFinding(
        example.substring(0, end) + example.substring(table), "security.trusted_keys.1.id");
  }

  /** Guards against malformed input that throws an exception instead of giving findings. */
  @Test
  public void parserNeverThrowsOnMutatedText() {
    int valid = 0;
    for (int seed = 0; seed < FUZZ_ROUNDS; seed++) {
      String mutated = new TextMutator(seed).mutate(example);
      try {
        valid += NodeSettingsParser.parse("fuzz", mutated) instanceof Checked.Valid ? 1 : 0;
      } catch (RuntimeException | StackOverflowError e) {
        throw new AssertionError("seed " + seed + ":\n" + mutated, e);
      }
    }
    assertTrue(
        valid > 0 && valid < FUZZ_ROUNDS,
        "mutations must give valid and invalid texts; valid: " + valid);
  }

  private static void assertFinding(String text, String key) {
    List<Finding> findings = NodeSettingsParser.parse("node.toml", text).findingsOrEmpty();
    assertEquals(findings.stream().map(Finding::key).toList(), List.of(key), text);
  }
}
