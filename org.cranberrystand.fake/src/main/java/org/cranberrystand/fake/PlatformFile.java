package org.cranberrystand.fake;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.TomlDocument;
import org.cranberrystand.wire.TomlReader;
import org.cranberrystand.wire.platform.VmEntry;

/**
 * Configuration file of the fakes.
 *
 * @param port the port of the configuration service and VM list
 * @param bundleFile the signed bundle to publish; the file may be created later
 * @param upstreams the engines and plain services to run
 * @param nodes the VMs of role entry to list
 */
record PlatformFile(
    int port, Path bundleFile, ImmutableList<Upstream> upstreams, ImmutableList<VmEntry> nodes) {
  private static final int MAX_PORT = 65_535;

  /**
   * One upstream to run.
   *
   * @param name the name of the VM
   * @param pool the pool
   * @param port the port
   * @param failureDomain the failure domain
   * @param speed the speed of an engine; null for a plain service
   */
  record Upstream(String name, String pool, int port, String failureDomain, EngineSpeed speed) {}

  /**
   * Parses a configuration file.
   *
   * @param file the file name to use in findings
   * @param text the TOML text
   * @return the content, or all findings
   */
  static Checked<PlatformFile> parse(String file, String text) {
    return TomlDocument.parse(file, text).flatMap(document -> read(file, document));
  }

  private static Checked<PlatformFile> read(String file, TomlDocument document) {
    Findings findings = new Findings(file);
    TomlReader root = TomlReader.ofRoot(document, findings);
    int port = port(root);
    String bundleFile = root.getRequiredString("bundle_file");
    ImmutableList.Builder<Upstream> upstreams = ImmutableList.builder();
    root.getTables("engines").forEach(table -> upstreams.add(engine(table)));
    root.getTables("services").forEach(table -> upstreams.add(upstream(table, null)));
    ImmutableList.Builder<VmEntry> nodes = ImmutableList.builder();
    root.getTables("nodes").forEach(table -> nodes.add(node(table)));
    root.rejectUnknownKeys();
    return findings.toChecked(
        () -> new PlatformFile(port, Path.of(bundleFile), upstreams.build(), nodes.build()));
  }

  private static int port(TomlReader table) {
    return (int) table.getLong("port", 0, 0, MAX_PORT);
  }

  private static Upstream engine(TomlReader table) {
    String speed = table.getString("speed", "fast");
    if (!speed.equals("fast") && !speed.equals("slow")) {
      table.report("speed", "must be \"fast\" or \"slow\"");
    }
    return upstream(table, speed.equals("slow") ? EngineSpeed.SLOW : EngineSpeed.FAST);
  }

  private static Upstream upstream(TomlReader table, EngineSpeed speed) {
    Upstream upstream =
        new Upstream(
            table.getRequiredString("name"),
            table.getRequiredString("pool"),
            port(table),
            table.getRequiredString("failure_domain"),
            speed);
    table.rejectUnknownKeys();
    return upstream;
  }

  private static VmEntry node(TomlReader table) {
    VmEntry entry =
        new VmEntry(
            table.getRequiredString("name"),
            VmEntry.ROLE_ENTRY,
            "",
            table.getRequiredString("callers"),
            table.getRequiredString("peers"),
            table.getRequiredString("failure_domain"),
            VmEntry.STATE_LIVE);
    table.rejectUnknownKeys();
    return entry;
  }
}
