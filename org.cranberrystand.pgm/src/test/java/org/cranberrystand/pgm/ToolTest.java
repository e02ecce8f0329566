package org.cranberrystand.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import picocli.CommandLine;

public final class ToolTest {
  private Path directory;
  private String out;
  private String err;

  @BeforeMethod
  public void createDirectory() throws IOException {
    directory = Files.createTempDirectory(Path.of("target"), "tool");
  }

  @Test
  public void bundleGoesFromExampleToSignedFormThatNodesAccept() throws IOException {
    String bundle = path("bundle.toml");
    assertEquals(run("bundle", "init", bundle), 0);
    assertEquals(run("bundle", "check", bundle), 0);
    assertEquals(run("key", "generate", "--id", "ops", "--out", path("ops.key")), 0);
    String publicKey = out.replaceAll("(?s).*public_key = \"([^\"]+)\".*", "$1");
    String permissions =
        PosixFilePermissions.toString(Files.getPosixFilePermissions(directory.resolve("ops.key")));
    assertEquals(permissions, "rw-------");

    assertEquals(
        run("bundle", "sign", bundle, "--key", path("ops.key"), "--out", path("signed.json")), 0);

    SignedBundle signed =
        Json.read(Files.readAllBytes(directory.resolve("signed.json")), SignedBundle.class);
    BundleSignatures trusted = new BundleSignatures(ImmutableMap.of("ops", publicKey));
    assertEquals(trusted.verify("signed.json", signed).orElseThrow().version(), 1);
  }

  /**
   * Guards against a signed bundle that exceeds the value size limit of the configuration service.
   */
  @Test
  public void bundleAboveTheLimitOfTheServiceIsNotSigned() throws IOException {
    StringBuilder text = new StringBuilder("version = 1\n");
    for (int i = 0; i < 30_000; i++) {
      text.append("[[teams]]\nname = \"team-").append(i).append("\"\nweight = 1.0\n");
    }
    Files.writeString(directory.resolve("big.toml"), text);
    run("key", "generate", "--id", "ops", "--out", path("ops.key"));

    assertEquals(
        run("bundle", "sign", path("big.toml"), "--key", path("ops.key"), "--out", path("s")), 2);
    assertTrue(err.contains("1 MB"), err);
    assertFalse(Files.exists(directory.resolve("s")));
    String[] inParts = {
      "bundle", "sign", path("big.toml"), "--key", path("ops.key"), "--out", path("s"), "--parts",
    };
    assertEquals(run(append(inParts, "16")), 0);
    assertEquals(run("bundle", "diff", path("big.toml"), path("s")), 0);
    assertTrue(out.contains("the same"), out);
  }

  /**
   * Guards against a rollback whose version is not higher than the one in force, which nodes
   * refuse.
   */
  @Test
  public void revertWritesNewVersionThatSignsAsSuccessorOfTheCurrentOne() throws IOException {
    String old = path("old.toml");
    String current = path("current.toml");
    String reverted = path("reverted.toml");
    run("bundle", "init", old);
    String text = Files.readString(Path.of(old));
    Files.writeString(
        Path.of(current),
        text.replace("version = 1", "version = 8").replace("weight = 2.0", "weight = 9.0"));

    assertEquals(run("bundle", "revert", current, "--to", old, "--out", reverted, "--dry-run"), 0);
    assertFalse(Files.exists(Path.of(reverted)), "a dry run writes nothing");
    assertEquals(run("bundle", "revert", current, "--to", old, "--out", reverted), 0);
    assertEquals(run("bundle", "diff", old, reverted), 0);
    assertTrue(out.contains("the same"), out);
    run("key", "generate", "--id", "ops", "--out", path("ops.key"));
    String[] sign = {
      "bundle", "sign", reverted, "--key", path("ops.key"), "--out", path("s.json"), "--previous"
    };
    assertEquals(run(append(sign, current)), 0);
    assertEquals(run(append(sign, reverted)), 2);
    assertTrue(err.contains("next: set version = 10"), err);
  }

  @Test
  public void findingsNameFileLineAndKeyTogetherAndExitCodeIsTwo() throws IOException {
    Path file = directory.resolve("bad.toml");
    Files.writeString(file, "version = 0\nfoo = 1\n[[teams]]\nweight = -1\n");

    assertEquals(run("bundle", "check", file.toString()), 2);
    assertTrue(err.contains("bad.toml:1: version:"), err);
    assertTrue(err.contains("bad.toml:2: foo:"), err);
    assertTrue(err.contains("bad.toml:4: teams.0.weight:"), err);
    assertTrue(err.contains("next:"), err);
    assertEquals(run("bundle", "check", "--json", file.toString()), 2);
    JsonNode json = Json.MAPPER.readTree(out);
    assertFalse(json.path("valid").asBoolean());
    assertEquals(json.path("findings").get(0).path("line").asInt(), 1);
  }

  /** Guards against tokens on the command line, where other users of the machine can read them. */
  @Test
  public void tokenComesFromFileOrEnvironmentOnly() throws IOException {
    assertEquals(run("nodes", "--operator", "127.0.0.1:1", "--token", "secret"), 2);
    assertEquals(run("nodes", "--operator", "127.0.0.1:1", "--token-file", path("none")), 2);
    Files.writeString(directory.resolve("token"), "0123456789abcdef\n");
    assertEquals(run("nodes", "--operator", "127.0.0.1:1", "--token-file", path("token")), 1);
    assertTrue(err.contains("cannot connect"), err);
    assertEquals(run("nodes", "--operator", "localhost", "--token-file", path("token")), 2);
  }

  @Test
  public void rolloutWaitEndsWithThreeWhenNoNodeTakesTheBundle() throws IOException {
    Files.writeString(directory.resolve("token"), "0123456789abcdef");
    String[] wait = {
      "rollout",
      "wait",
      "--operator",
      "127.0.0.1:1",
      "--token-file",
      path("token"),
      "--version-number",
      "3",
      "--timeout",
      "0"
    };

    assertEquals(run(wait), 3);
  }

  /** Guards against subcommands without help or without JSON output. */
  @Test
  public void everySubcommandHasHelpAndJson() {
    assertSubcommand(Main.commandLine());
    assertEquals(run("generate-completion"), 0);
    assertTrue(out.contains("rollout"), "completion lists the subcommands");
  }

  private void assertSubcommand(CommandLine command) {
    String name = command.getCommandSpec().qualifiedName();
    assertTrue(command.getCommandSpec().optionsMap().containsKey("--help"), name);
    boolean isOwnCommand =
        command.getCommandSpec().userObject().getClass().getPackage() == Main.class.getPackage();
    if (command.getSubcommands().isEmpty() && isOwnCommand) {
      assertTrue(command.getCommandSpec().optionsMap().containsKey("--json"), name);
      assertTrue(command.getCommandSpec().usageMessage().description().length > 0, name);
    }
    command.getSubcommands().values().stream()
        .filter(sub -> !sub.getCommandName().equals("help"))
        .forEach(this::assertSubcommand);
  }

  private static String[] append(String[] arguments, String last) {
    String[] extended = java.util.Arrays.copyOf(arguments, arguments.length + 1);
    extended[arguments.length] = last;
    return extended;
  }

  private String path(String name) {
    return directory.resolve(name).toString();
  }

  private int run(String... arguments) {
    StringWriter outText = new StringWriter();
    StringWriter errText = new StringWriter();
    int code =
        Main.commandLine()
            .setOut(new PrintWriter(outText, true))
            .setErr(new PrintWriter(errText, true))
            .execute(arguments);
    out = outText.toString();
    err = errText.toString();
    return code;
  }
}
