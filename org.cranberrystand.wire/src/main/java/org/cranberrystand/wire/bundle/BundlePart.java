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
 * Teams and shops that a bundle refers to by digest.
 *
 * <p>A bundle for tens of thousands of teams exceeds the size of one value of the configuration
 * service. Its teams and shops are therefore split into parts, so that a change moves only the
 * parts it touches and only those are parsed again. Immutable.
 *
 * @param digest the digest of the text
 * @param teams the teams of this part
 * @param shops the shops of this part
 */
public record BundlePart(String digest, ImmutableList<Team> teams, ImmutableList<Shop> shops) {
  private static final double MAX_WEIGHT = 1e6;

  /**
   * Reads a part.
   *
   * @param file the name of the file for findings
   * @param text the TOML text
   * @return the part, or everything that is wrong with it
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
