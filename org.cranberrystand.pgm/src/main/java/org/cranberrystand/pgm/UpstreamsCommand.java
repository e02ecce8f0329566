package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.UpstreamReport;
import picocli.CommandLine.Command;

/** Lists the upstreams that each node knows. */
@Command(
    name = "upstreams",
    mixinStandardHelpOptions = true,
    description = "Lists the upstreams that each given node knows.")
final class UpstreamsCommand extends NodeQueryCommand implements Callable<Integer> {

  @Override
  public Integer call() {
    ImmutableList<UpstreamReport> reports = readAll("upstreams", UpstreamReport.class);
    output().print(reports, () -> printTable(reports));
    return exitCodeFor(reports);
  }

  private void printTable(ImmutableList<UpstreamReport> reports) {
    Output.Table table =
        new Output.Table("UPSTREAM", "POOL", "ADDRESS", "DOMAIN", "LEAVING", "RUNNING", "SEEN BY");
    for (UpstreamReport r : reports) {
      for (UpstreamReport.Upstream u : r.upstreams()) {
        table.addRow(
            u.name(), u.pool(), u.address(), u.failureDomain(), u.leaving(), u.running(), r.node());
      }
    }
    table.printTo(output().out());
  }
}
