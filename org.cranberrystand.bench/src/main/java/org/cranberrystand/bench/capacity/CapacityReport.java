package org.cranberrystand.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.SchedulerOptions;

/** Works out the costs at the planned size and writes them as tables. Immutable. */
public final class CapacityReport {
  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final double IDENTIFIER_LIFETIME_SECONDS = 600;
  private static final double RECORDED_ANSWER_BYTES = 8 * 1024 * 1024;
  private static final int LARGEST_MEASURED_NODES = 64;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final PlannedSize size;
  private final MeasuredSlopes slopes;
  private final List<BundleCost.Result> bundle;

  /**
   * Creates a report.
   *
   * @param size the size to work out
   * @param slopes the measured slopes
   * @param bundle the measured costs of bundles; the last one is for the planned number of teams
   */
  public CapacityReport(PlannedSize size, MeasuredSlopes slopes, List<BundleCost.Result> bundle) {
    this.size = size;
    this.slopes = slopes;
    this.bundle = List.copyOf(bundle);
  }

  private record Row(String state, String mechanism, double count, double bytesEach) {
    double megabytes() {
      return count * bytesEach / BYTES_PER_MEGABYTE;
    }
  }

  /**
   * Writes the tables.
   *
   * @return Markdown
   */
  public String toMarkdown() {
    StringBuilder text = new StringBuilder();
    memory(text);
    traffic(text);
    processor(text);
    return text.toString();
  }

  /**
   * Returns the memory for control state of one node.
   *
   * @return megabytes
   */
  public double controlMegabytes() {
    return rows().stream().mapToDouble(Row::megabytes).sum();
  }

  private List<Row> rows() {
    BundleCost.Result planned = bundle.get(bundle.size() - 1);
    double inUse = size.upstreamsPerNode();
    List<Row> rows = new ArrayList<>();
    rows.add(
        new Row(
            "Claimed identifiers",
            "`RequestLedger`, lifetime 600 s",
            size.requestsPerNode() * IDENTIFIER_LIFETIME_SECONDS,
            slopes.ledgerBytes()));
    rows.add(new Row("Recorded answers", "`RequestLedger`, limit", 1, RECORDED_ANSWER_BYTES));
    rows.add(new Row("Members", "`MembershipTable`", size.nodes(), slopes.memberBytes()));
    rows.add(new Row("Upstreams in use", "`EngineWindow`, subset", inUse, slopes.engineBytes()));
    rows.add(
        new Row(
            "Prefix blocks",
            "`PrefixIndex`, limit per engine",
            inUse * SchedulerOptions.defaults().maxBlocksPerEngine(),
            slopes.prefixBlockBytes()));
    rows.add(new Row("Active teams", "`FairQueue`", size.teams(), slopes.teamBytes()));
    rows.add(
        new Row(
            "Queued requests without bodies",
            "`Scheduler`, queue limit",
            Tier.values().length * SchedulerOptions.defaults().maxQueuedRequests(),
            slopes.queuedBytes()));
    rows.add(
        new Row(
            "Bundle text in parts",
            "`BundlePartCache`",
            BundleCost.PART_COUNT,
            planned.partBytes()));
    return rows;
  }

  private void memory(StringBuilder text) {
    text.append("### Memory of a node\n\n");
    text.append("| State | Mechanism | Count | Bytes each | MB |\n|---|---|---|---|---|\n");
    for (Row row : rows()) {
      text.append(
          format(
              "| %s | %s | %,.0f | %,.1f | %.2f |\n",
              row.state(), row.mechanism(), row.count(), row.bytesEach(), row.megabytes()));
    }
    text.append(format("| Sum | | | | %.2f |\n\n", controlMegabytes()));
  }

  private void traffic(StringBuilder text) {
    BundleCost.Result planned = bundle.get(bundle.size() - 1);
    double change = (planned.mainBytes() + planned.partBytes()) * size.changesPerSecond();
    text.append("### Control traffic of a node\n\n");
    text.append("The core share falls with the nodes and is not extrapolated beyond 64 nodes.\n\n");
    text.append("| Nodes | Digests and platform reads, bytes/s | Core |\n|---|---|---|\n");
    for (int nodes : new int[] {8, 64, 150, size.nodes()}) {
      text.append(
          format(
              "| %d | %,.0f | %.4f |\n",
              nodes,
              slopes.digestBytesPerSecond().at(nodes),
              slopes.digestCore().at(Math.min(nodes, LARGEST_MEASURED_NODES))));
    }
    text.append(
        format(
            "\nBundle changes add %.3f changes/s of %,d bytes: %,.0f bytes/s.\n\n",
            size.changesPerSecond(), planned.mainBytes() + planned.partBytes(), change));
  }

  private void processor(StringBuilder text) {
    text.append("### Bundle changes\n\n");
    text.append(
        "| Teams | One text, bytes | Main text and one part, bytes | One text, ms | Parts, ms |"
            + " Core with parts at the planned rate |\n|---|---|---|---|---|---|\n");
    for (BundleCost.Result result : bundle) {
      text.append(
          format(
              "| %,d | %,d | %,d | %.1f | %.1f | %.4f |\n",
              result.teams(),
              result.wholeBytes(),
              result.mainBytes() + result.partBytes(),
              result.wholeMillis(),
              result.changeMillis(),
              result.changeMillis() / MILLIS_PER_SECOND * size.changesPerSecond()));
    }
    text.append('\n');
  }

  private static String format(String format, Object... arguments) {
    return String.format(Locale.ROOT, format, arguments);
  }
}
