package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.TomlDocument;
import org.cranberrystand.wire.TomlReader;

/** Parses mixes of request classes from TOML. Stateless. */
public final class MixParser {
  private static final double MAX_WEIGHT = 1e6;
  private static final int MAX_PROMPT_CHARS = 4_000_000;
  private static final int MAX_TOKENS = 100_000;
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;

  private MixParser() {}

  /**
   * Parses a mix.
   *
   * @param file the name of the file, for error messages
   * @param text the TOML text
   * @return the request classes, or all errors
   */
  public static Checked<ImmutableList<RequestClass>> parse(String file, String text) {
    return TomlDocument.parse(file, text).flatMap(document -> readMix(file, document));
  }

  private static Checked<ImmutableList<RequestClass>> readMix(String file, TomlDocument document) {
    Findings findings = new Findings(file);
    TomlReader root = TomlReader.ofRoot(document, findings);
    ImmutableList.Builder<RequestClass> classes = ImmutableList.builder();
    var tables = root.getTables("requests");
    tables.forEach(table -> classes.add(readClass(table)));
    if (tables.isEmpty()) {
      root.report("requests", "needs at least one [[requests]] table");
    }
    root.rejectUnknownKeys();
    return findings.toChecked(classes::build);
  }

  private static RequestClass readClass(TomlReader table) {
    String tier = table.getRequiredString("tier");
    Optional<Tier> parsedTier = Tier.fromLabel(tier);
    if (parsedTier.isEmpty() && !tier.isEmpty()) {
      table.report("tier", "must be \"urgent\", \"standard\" or \"deferrable\"");
    }
    RequestClass.Builder builder =
        RequestClass.builder(table.getRequiredString("kind"), table.getRequiredString("shop"))
            .reportAs(tier, table.getString("team", ""))
            .weight(table.getDouble("weight", 1, 1 / MAX_WEIGHT, MAX_WEIGHT))
            .model(
                (int) table.getLong("prompt_chars", 200, 1, MAX_PROMPT_CHARS),
                (int) table.getLong("max_tokens", 16, 1, MAX_TOKENS))
            .repeatable(table.getBoolean("repeatable", true))
            .deadlineMillis(table.getLong("deadline_ms", 60_000, 1, MAX_DEADLINE_MILLIS));
    String type = table.getString("type", "model");
    if (type.equals("service")) {
      builder.service();
    } else if (!type.equals("model")) {
      table.report("type", "must be \"model\" or \"service\"");
    }
    table.rejectUnknownKeys();
    return builder.build();
  }
}
