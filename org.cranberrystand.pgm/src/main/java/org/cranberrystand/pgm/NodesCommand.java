package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.NodeReport;
import picocli.CommandLine.Command;

/** Lists the given nodes and the members that they report. */
@Command(
    name = "nodes",
    mixinStandardHelpOptions = true,
    description = "Lists the given nodes and all other members that they report.")
final class NodesCommand extends NodeQueryCommand implements Callable<Integer> {

  @Override
  public Integer call() {
    ImmutableList<NodeReport> reports = readAll("nodes", NodeReport.class);
    output().print(reports, () -> printTable(reports));
    return exitCodeFor(reports);
  }

  private void printTable(ImmutableList<NodeReport> reports) {
    Output.Table table =
        new Output.Table("NODE", "DOMAIN", "STATE", "BUNDLE", "LEDGER", "INCARNATION", "SEEN BY");
    ImmutableSet<String> asked =
        reports.stream().map(NodeReport::node).collect(ImmutableSet.toImmutableSet());
    for (NodeReport r : reports) {
      table.addRow(
          r.node(),
          r.failureDomain(),
          r.state(),
          r.bundleVersion(),
          r.ledgerEntries(),
          r.incarnation(),
          "itself");
    }
    for (NodeReport r : reports) {
      for (NodeReport.Member m : r.members()) {
        if (!asked.contains(m.node())) {
          table.addRow(
              m.node(),
              m.failureDomain(),
              m.state(),
              m.bundleVersion(),
              "-",
              m.incarnation(),
              r.node());
        }
      }
    }
    table.printTo(output().out());
  }
}
