package org.cranberrystand.wire.bundle;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.TomlDocument;

/**
 * Splits the text of a bundle into a main text and parts with its teams and shops.
 *
 * <p>A team and its shops are always in the same part, chosen by the name of the team, so that a
 * change of one team changes one part. Stateless.
 */
public final class BundleSplitter {

  /**
   * A bundle in parts.
   *
   * @param main the text to sign; lists the digests of the parts
   * @param parts the texts of the parts by digest
   */
  public record Split(String main, ImmutableMap<String, String> parts) {}

  private record Block(String header, String text) {
    boolean isMovable() {
      return header.equals("[[teams]]") || header.equals("[[shops]]");
    }
  }

  private BundleSplitter() {}

  /**
   * Splits a bundle.
   *
   * @param text the TOML text of a valid bundle without parts
   * @param partCount the number of parts to distribute the teams over
   * @return the main text and the parts that are not empty
   */
  public static Split split(String text, int partCount) {
    Map<Integer, StringBuilder> parts = new TreeMap<>();
    StringBuilder preamble = new StringBuilder();
    StringBuilder tables = new StringBuilder();
    for (Block block : blocks(text)) {
      if (block.isMovable()) {
        int part = Hashing.consistentHash(teamHash(block), partCount);
        parts.computeIfAbsent(part, p -> new StringBuilder()).append(block.text());
      } else {
        (block.header().isEmpty() ? preamble : tables).append(block.text());
      }
    }
    ImmutableMap<String, String> byDigest =
        parts.values().stream()
            .map(StringBuilder::toString)
            .collect(ImmutableMap.toImmutableMap(BundleParser::digestOf, part -> part));
    String digests =
        byDigest.keySet().stream().map(d -> "  \"" + d + "\"").collect(Collectors.joining(",\n"));
    return new Split(preamble + "parts = [\n" + digests + "\n]\n\n" + tables, byDigest);
  }

  private static long teamHash(Block block) {
    Checked<TomlDocument> document = TomlDocument.parse("block", block.text());
    String table = block.header().substring(2, block.header().length() - 2);
    JsonNode row = document.orElseThrow().root().path(table).path(0);
    String team = table.equals("teams") ? row.path("name").asText() : row.path("team").asText();
    return Hashing.murmur3_128().hashString(team, StandardCharsets.UTF_8).asLong();
  }

  private static List<Block> blocks(String text) {
    List<Block> blocks = new ArrayList<>();
    String header = "";
    StringBuilder current = new StringBuilder();
    for (String line : text.split("\n", -1)) {
      String stripped = line.strip();
      if (stripped.startsWith("[")) {
        blocks.add(new Block(header, current.toString()));
        header = stripped;
        current = new StringBuilder();
      }
      current.append(line).append('\n');
    }
    blocks.add(new Block(header, current.toString()));
    return blocks;
  }
}
