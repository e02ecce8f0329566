package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.LoadReport;
import picocli.CommandLine.Command;

/** Shows the queued and running requests of each node by team. */
@Command(
    name = "teams",
    mixinStandardHelpOptions = true,
    description = "Shows the number of queued and running requests of each given node by team.")
final class TeamsCommand extends NodeQueryCommand implements Callable<Integer> {

  @Override
  public Integer call() {
    ImmutableList<LoadReport> reports = readAll("teams", LoadReport.class);
    output().print(reports, () -> printTable(reports));
    return exitCodeFor(reports);
  }

  private void printTable(ImmutableList<LoadReport> reports) {
    Output.Table table = new Output.Table("NODE", "TEAM", "WEIGHT", "QUEUED", "RUNNING");
    for (LoadReport r : reports) {
      for (LoadReport.Group g : r.groups()) {
        table.addRow(r.node(), g.name(), g.share(), g.queued(), g.running());
      }
    }
    table.printTo(output().out());
  }
}
