package org.cranberrystand.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.SchedulerOptions;

/** Computes the costs at the planned size and formats them as tables. Immutable. */
public final class CapacityReport {
  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final double IDENTIFIER_LIFETIME_SECONDS = 600;
  private static final double RECORDED_ANSWER_BYTES = 8 * 1024 * 1024;
  private static final int LARGEST_MEASURED_NODES = 64;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final PlannedSize size;
  private final MeasuredCosts costs;
  private final List<BundleCost.Result> bundleCosts;

  /**
   * Creates a report.
   *
   * @param size the size of the fleet
   * @param costs the measured costs
   * @param bundleCosts the measured costs of bundles; the last one is for the planned number of
   *     teams
   */
  public CapacityReport(
      PlannedSize size, MeasuredCosts costs, List<BundleCost.Result> bundleCosts) {
    this.size = size;
    this.costs = costs;
    this.bundleCosts = List.copyOf(bundleCosts);
  }

  private record Row(String state, String mechanism, double count, double bytesEach) {
    double megabytes() {
      return count * bytesEach / BYTES_PER_MEGABYTE;
    }
  }

  /**
   * Formats the tables.
   *
   * @return Markdown
   */
  public String toMarkdown() {
    StringBuilder text = new StringBuilder();
    appendMemory(text);
    appendTraffic(text);
    appendProcessor(text);
    return text.toString();
  }

  /**
   * Returns the memory that the control state of one node takes.
   *
   * @return megabytes
   */
  public double controlMegabytes() {
    return memoryRows().stream().mapToDouble(Row::megabytes).sum();
  }

  private List<Row> memoryRows() {
    BundleCost.Result plannedBundle = bundleCosts.get(bundleCosts.size() - 1);
    double upstreamsInUse = size.upstreamsPerNode();
    List<Row> rows = new ArrayList<>();
    rows.add(
        new Row(
            "Claimed identifiers",
            "`RequestLedger`, lifetime 600 s",
            size.requestsPerSecondAndNode() * IDENTIFIER_LIFETIME_SECONDS,
            costs.ledgerRetainedBytes()));
    rows.add(new Row("Recorded answers", "`RequestLedger`, limit", 1, RECORDED_ANSWER_BYTES));
    rows.add(new Row("Members", "`MembershipTable`", size.nodes(), costs.memberRetainedBytes()));
    rows.add(
        new Row(
            "Upstreams in use",
            "`EngineWindow`, subset",
            upstreamsInUse,
            costs.engineRetainedBytes()));
    rows.add(
        new Row(
            "Prefix blocks",
            "`PrefixIndex`, limit per engine",
            upstreamsInUse * SchedulerOptions.defaults().maxBlocksPerEngine(),
            costs.prefixBlockRetainedBytes()));
    rows.add(new Row("Active teams", "`FairQueue`", size.teams(), costs.teamRetainedBytes()));
    rows.add(
        new Row(
            "Queued requests without bodies",
            "`Scheduler`, queue limit",
            Tier.values().length * SchedulerOptions.defaults().maxQueuedRequests(),
            costs.queuedRetainedBytes()));
    rows.add(
        new Row(
            "Bundle text in parts",
            "`BundlePartCache`",
            BundleCost.PART_COUNT,
            plannedBundle.partBytes()));
    return rows;
  }

  private void appendMemory(StringBuilder text) {
    text.append("### Memory of a node\n\n");
    text.append("| State | Mechanism | Count | Bytes each | MB |\n|---|---|---|---|---|\n");
    for (Row row : memoryRows()) {
      text.append(
          format(
              "| %s | %s | %,.0f | %,.1f | %.2f |\n",
              row.state(), row.mechanism(), row.count(), row.bytesEach(), row.megabytes()));
    }
    text.append(format("| Sum | | | | %.2f |\n\n", controlMegabytes()));
  }

  private void appendTraffic(StringBuilder text) {
    BundleCost.Result plannedBundle = bundleCosts.get(bundleCosts.size() - 1);
    double changeBytesPerSecond =
        (plannedBundle.manifestBytes() + plannedBundle.partBytes()) * size.changesPerSecond();
    text.append("### Control traffic of a node\n\n");
    text.append("The core share falls with the nodes and is not extrapolated beyond 64 nodes.\n\n");
    text.append("| Nodes | Digests and platform reads, bytes/s | Core |\n|---|---|---|\n");
    for (int nodes : new int[] {8, 64, 150, size.nodes()}) {
      text.append(
          format(
              "| %d | %,.0f | %.4f |\n",
              nodes,
              costs.controlBytesPerSecond().at(nodes),
              costs.controlCoreFraction().at(Math.min(nodes, LARGEST_MEASURED_NODES))));
    }
    text.append(
        format(
            "\nBundle changes add %.3f changes/s of %,d bytes: %,.0f bytes/s.\n\n",
            size.changesPerSecond(),
            plannedBundle.manifestBytes() + plannedBundle.partBytes(),
            changeBytesPerSecond));
  }

  private void appendProcessor(StringBuilder text) {
    text.append("### Bundle changes\n\n");
    text.append(
        "| Teams | One text, bytes | Main text and one part, bytes | One text, ms | Parts, ms |"
            + " Core with parts at the planned rate |\n|---|---|---|---|---|---|\n");
    for (BundleCost.Result result : bundleCosts) {
      text.append(
          format(
              "| %,d | %,d | %,d | %.1f | %.1f | %.4f |\n",
              result.teams(),
              result.wholeBytes(),
              result.manifestBytes() + result.partBytes(),
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
