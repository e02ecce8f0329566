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
 * Splits the text of a bundle into a manifest and parts that hold its teams and shops.
 *
 * <p>A hash of the team name assigns a team and its shops to the same part, so a change to one team
 * changes only one part. Stateless.
 */
public final class BundleSplitter {

  /**
   * A bundle split into a manifest and parts.
   *
   * @param manifest the TOML text to sign, with the digests of the parts
   * @param parts the TOML texts of the parts by digest
   */
  public record Split(String manifest, ImmutableMap<String, String> parts) {}

  private record Block(String header, String text) {
    boolean belongsInPart() {
      return header.equals("[[teams]]") || header.equals("[[shops]]");
    }
  }

  private BundleSplitter() {}

  /**
   * Splits a bundle.
   *
   * @param text the TOML text of a valid bundle without parts
   * @param partCount the number of parts over which the teams are distributed
   * @return the manifest and the parts that are not empty
   */
  public static Split split(String text, int partCount) {
    Map<Integer, StringBuilder> partTexts = new TreeMap<>();
    StringBuilder preamble = new StringBuilder();
    StringBuilder tables = new StringBuilder();
    for (Block block : splitBlocks(text)) {
      if (block.belongsInPart()) {
        int part = Hashing.consistentHash(teamHash(block), partCount);
        partTexts.computeIfAbsent(part, p -> new StringBuilder()).append(block.text());
      } else {
        (block.header().isEmpty() ? preamble : tables).append(block.text());
      }
    }
    ImmutableMap<String, String> partByDigest =
        partTexts.values().stream()
            .map(StringBuilder::toString)
            .collect(ImmutableMap.toImmutableMap(BundleParser::digestOf, part -> part));
    String digests =
        partByDigest.keySet().stream()
            .map(d -> "  \"" + d + "\"")
            .collect(Collectors.joining(",\n"));
    return new Split(preamble + "parts = [\n" + digests + "\n]\n\n" + tables, partByDigest);
  }

  private static long teamHash(Block block) {
    Checked<TomlDocument> document = TomlDocument.parse("block", block.text());
    String table = block.header().substring(2, block.header().length() - 2);
    JsonNode element = document.orElseThrow().root().path(table).path(0);
    String team =
        table.equals("teams") ? element.path("name").asText() : element.path("team").asText();
    return Hashing.murmur3_128().hashString(team, StandardCharsets.UTF_8).asLong();
  }

  private static List<Block> splitBlocks(String text) {
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
