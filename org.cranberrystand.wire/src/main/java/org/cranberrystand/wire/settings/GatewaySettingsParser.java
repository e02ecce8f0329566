package org.cranberrystand.wire.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import org.cranberrystand.dispatch.QuotaTolerance;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.TomlDocument;
import org.cranberrystand.wire.TomlReader;

/** Reads the settings of a gateway from TOML and checks them. Use one instance per text. */
public final class GatewaySettingsParser {
  private static final int MAX_PORT = 65_535;
  private static final double DEFAULT_RETRY_RATIO = 0.1;
  private static final double DEFAULT_QUOTA_WINDOW_SECONDS = 8;
  private static final long DEFAULT_SHUTDOWN_MILLIS = 8_000;
  private static final int DEFAULT_ADDRESS_LIFETIME_SECONDS = 2;

  private final Findings findings;

  private GatewaySettingsParser(String file) {
    this.findings = new Findings(file);
  }

  /**
   * Reads settings.
   *
   * @param file the name of the file for findings
   * @param text the TOML text
   * @return the settings, or everything that is wrong with them
   */
  public static Checked<GatewaySettings> parse(String file, String text) {
    return TomlDocument.parse(file, text).flatMap(new GatewaySettingsParser(file)::read);
  }

  private Checked<GatewaySettings> read(TomlDocument document) {
    TomlReader root = TomlReader.ofRoot(document, findings);
    String node = root.getRequiredString("node");
    String failureDomain = root.getRequiredString("failure_domain");
    boolean startsWithFleet = root.getBoolean("starts_with_fleet", false);
    double cores = cores(root.getTable("processor"));
    TomlReader table = root.getTable("listen");
    GatewaySettings.Listen listen =
        new GatewaySettings.Listen(
            SettingsAddresses.required(table, "callers"),
            SettingsAddresses.required(table, "ready"),
            SettingsAddresses.required(table, "peers"),
            SettingsAddresses.required(table, "directory"),
            (int) table.getLong("report_port", 0, 0, MAX_PORT),
            SettingsAddresses.required(table, "metrics"));
    table.rejectUnknownKeys();
    ImmutableList<HostAndPort> seeds =
        SettingsAddresses.parseAll(root, "seeds", root.getStringSet("seeds"));
    TomlReader storeTable = root.getTable("store");
    HostAndPort store = SettingsAddresses.required(storeTable, "address");
    storeTable.rejectUnknownKeys();
    GatewaySettings.Limits limits = limits(root.getTable("limits"));
    root.rejectUnknownKeys();
    return findings.toChecked(
        () ->
            new GatewaySettings(
                node, failureDomain, cores, startsWithFleet, listen, seeds, store, limits));
  }

  private static double cores(TomlReader table) {
    double cores =
        table.getDouble("share", 1, 0.01, 1_000) * table.getDouble("speed", 1, 0.01, 1_000);
    table.rejectUnknownKeys();
    return cores;
  }

  private static GatewaySettings.Limits limits(TomlReader table) {
    GatewaySettings.Limits limits =
        new GatewaySettings.Limits(
            table.getDouble("retry_ratio", DEFAULT_RETRY_RATIO, 0, 1),
            table.getDouble("retry_slack", 0, 0, 1e6),
            new QuotaTolerance(
                table.getDouble("quota_window_s", DEFAULT_QUOTA_WINDOW_SECONDS, 1, 3_600),
                table.getDouble("quota_over", 0, 0, 10),
                table.getDouble("quota_slack", 0, 0, 1e12)),
            1000 * table.getLong("shutdown_s", DEFAULT_SHUTDOWN_MILLIS / 1000, 1, 3_600),
            (int) table.getLong("address_lifetime_s", DEFAULT_ADDRESS_LIFETIME_SECONDS, 1, 3_600));
    table.rejectUnknownKeys();
    return limits;
  }
}
