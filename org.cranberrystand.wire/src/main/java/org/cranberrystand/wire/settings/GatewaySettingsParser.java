package org.cranberrystand.wire.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.Optional;
import org.cranberrystand.dispatch.ColdTolerance;
import org.cranberrystand.dispatch.HedgePolicy;
import org.cranberrystand.dispatch.QuotaTolerance;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.TomlDocument;
import org.cranberrystand.wire.TomlReader;

/** Parses and validates the settings of a gateway in TOML. One instance parses one text. */
public final class GatewaySettingsParser {
  private static final int MAX_PORT = 65_535;
  private static final double DEFAULT_RETRY_RATIO = 0.1;
  private static final double DEFAULT_QUOTA_WINDOW_SECONDS = 8;
  private static final long DEFAULT_HEARTBEAT_MILLIS = 1_200;
  private static final long MIN_MEMORY_KIB = 1_024;
  private static final long MAX_MEMORY_KIB = 16 << 20;
  private static final long MIN_HEARTBEAT_MILLIS = 100;
  private static final long MAX_HEARTBEAT_MILLIS = 600_000;
  private static final long MAX_HISTORY_SECONDS = 31_536_000;
  private static final long DEFAULT_SHUTDOWN_MILLIS = 8_000;
  private static final long MAX_EVACUATE_MILLIS = 3_600_000;
  private static final double NO_COLD_UPSTREAMS = -1;
  private static final int DEFAULT_ADDRESS_LIFETIME_SECONDS = 2;

  private final Findings findings;

  private GatewaySettingsParser(String file) {
    this.findings = new Findings(file);
  }

  /**
   * Parses settings.
   *
   * @param file the file name to report in findings
   * @param text the TOML text
   * @return the settings, or all findings
   */
  public static Checked<GatewaySettings> parse(String file, String text) {
    return TomlDocument.parse(file, text).flatMap(new GatewaySettingsParser(file)::read);
  }

  private Checked<GatewaySettings> read(TomlDocument document) {
    TomlReader root = TomlReader.ofRoot(document, findings);
    String node = root.getRequiredString("node");
    String failureDomain = root.getRequiredString("failure_domain");
    boolean startsWithFleet = root.getBoolean("starts_with_fleet", false);
    double cores = readCores(root.getTable("processor"));
    TomlReader listenTable = root.getTable("listen");
    GatewaySettings.Listen listen =
        new GatewaySettings.Listen(
            SettingsAddresses.readRequired(listenTable, "callers"),
            SettingsAddresses.readRequired(listenTable, "ready"),
            SettingsAddresses.readRequired(listenTable, "peers"),
            SettingsAddresses.readRequired(listenTable, "directory"),
            (int) listenTable.getLong("report_port", 0, 0, MAX_PORT),
            SettingsAddresses.readRequired(listenTable, "metrics"));
    listenTable.rejectUnknownKeys();
    ImmutableList<HostAndPort> seeds =
        SettingsAddresses.parseAll(root, "seeds", root.getStringSet("seeds"));
    TomlReader storeTable = root.getTable("store");
    GatewaySettings.Store store =
        new GatewaySettings.Store(
            SettingsAddresses.readRequired(storeTable, "address"),
            storeTable.getLong(
                "heartbeat_ms",
                DEFAULT_HEARTBEAT_MILLIS,
                MIN_HEARTBEAT_MILLIS,
                MAX_HEARTBEAT_MILLIS),
            1000 * storeTable.getLong("history_s", 0, 0, MAX_HISTORY_SECONDS));
    storeTable.rejectUnknownKeys();
    GatewaySettings.Limits limits = readLimits(root.getTable("limits"));
    GatewaySettings.Memory memory = readMemory(root.getTable("memory"));
    root.rejectUnknownKeys();
    return findings.toChecked(
        () ->
            new GatewaySettings(
                node, failureDomain, cores, startsWithFleet, listen, seeds, store, limits, memory));
  }

  private static double readCores(TomlReader table) {
    double cores =
        table.getDouble("share", 1, 0.01, 1_000) * table.getDouble("speed", 1, 0.01, 1_000);
    table.rejectUnknownKeys();
    return cores;
  }

  private static Optional<ColdTolerance> readColdTolerance(TomlReader table) {
    double over = table.getDouble("cold_over", NO_COLD_UPSTREAMS, 0, 1_000);
    double slack = table.getDouble("cold_slack", 0, 0, 1e6);
    return over == NO_COLD_UPSTREAMS
        ? Optional.empty()
        : Optional.of(new ColdTolerance(over, slack));
  }

  private static GatewaySettings.Limits readLimits(TomlReader table) {
    GatewaySettings.Limits limits =
        new GatewaySettings.Limits(
            table.getDouble("retry_ratio", DEFAULT_RETRY_RATIO, 0, 1),
            table.getDouble("retry_slack", 0, 0, 1e6),
            new QuotaTolerance(
                table.getDouble("quota_window_s", DEFAULT_QUOTA_WINDOW_SECONDS, 1, 3_600),
                table.getDouble("quota_over", 0, 0, 10),
                table.getDouble("quota_slack", 0, 0, 1e12)),
            readColdTolerance(table),
            1000 * table.getLong("shutdown_s", DEFAULT_SHUTDOWN_MILLIS / 1000, 1, 3_600),
            (int) table.getLong("address_lifetime_s", DEFAULT_ADDRESS_LIFETIME_SECONDS, 1, 3_600),
            table.getLong("evacuate_ms", 0, 0, MAX_EVACUATE_MILLIS),
            table.getDouble("hedge_share", 0, 0, HedgePolicy.MAX_SHARE));
    table.rejectUnknownKeys();
    return limits;
  }

  private static GatewaySettings.Memory readMemory(TomlReader table) {
    GatewaySettings.Memory memory =
        new GatewaySettings.Memory(
            readKib(table, "callers_kb", GatewaySettings.Memory.DEFAULT.callerBytes()),
            readKib(table, "upstreams_kb", GatewaySettings.Memory.DEFAULT.upstreamBytes()));
    table.rejectUnknownKeys();
    return memory;
  }

  private static long readKib(TomlReader table, String key, long defaultBytes) {
    return 1024 * table.getLong(key, defaultBytes / 1024, MIN_MEMORY_KIB, MAX_MEMORY_KIB);
  }
}
