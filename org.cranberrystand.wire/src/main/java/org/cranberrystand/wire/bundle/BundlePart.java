package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.Team;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.TomlDocument;
import org.cranberrystand.wire.TomlReader;

/**
 * Teams and shops that a bundle references by the digest of their text.
 *
 * <p>A bundle for tens of thousands of teams exceeds the size limit of one value in the
 * configuration service, so its teams and shops are split into parts. After a change, nodes fetch
 * and parse only the parts that changed. Immutable.
 *
 * @param digest the digest of the TOML text
 * @param teams the teams of this part
 * @param shops the shops of this part
 */
public record BundlePart(String digest, ImmutableList<Team> teams, ImmutableList<Shop> shops) {
  private static final double MAX_WEIGHT = 1e6;

  /**
   * Parses a part.
   *
   * @param file the file name to report in findings
   * @param text the TOML text
   * @return the part, or all findings
   */
  public static Checked<BundlePart> parse(String file, String text) {
    return TomlDocument.parse(file, text).flatMap(document -> read(file, text, document));
  }

  private static Checked<BundlePart> read(String file, String text, TomlDocument document) {
    Findings findings = new Findings(file);
    TomlReader root = TomlReader.ofRoot(document, findings);
    ImmutableList<Team> teams =
        root.getTables("teams").stream()
            .map(BundlePart::readTeam)
            .collect(ImmutableList.toImmutableList());
    ImmutableList<Shop> shops =
        root.getTables("shops").stream()
            .map(BundlePart::readShop)
            .collect(ImmutableList.toImmutableList());
    root.rejectUnknownKeys();
    return findings.toChecked(() -> new BundlePart(BundleParser.digestOf(text), teams, shops));
  }

  static Team readTeam(TomlReader table) {
    String name = table.getRequiredString("name");
    double weight = table.getDouble("weight", 1, 1 / MAX_WEIGHT, MAX_WEIGHT);
    table.rejectUnknownKeys();
    return new Team(name, weight);
  }

  static Shop readShop(TomlReader table) {
    String name = table.getRequiredString("name");
    String team = table.getRequiredString("team");
    ImmutableSet<String> kinds = table.getStringSet("kinds");
    table.rejectUnknownKeys();
    return new Shop(name, team, kinds);
  }
}
