package org.cranberrystand.pgm;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.ExplainReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows the outcome of a request and the steps that led to it. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = {
      "Shows the outcome and the steps of a request, given its Cranberrystand-Request-Id.",
      "The node that issued the identifier must be among the given nodes; its name is the first",
      "part of the identifier."
    })
final class ExplainCommand extends NodeQueryCommand implements Callable<Integer> {
  @Parameters(paramLabel = "ID", description = "The request identifier.")
  private String id;

  @Override
  public Integer call() {
    if (!id.matches("[A-Za-z0-9._-]+")) {
      throw CommandException.invalid(
          "\"" + id + "\" is not a request identifier",
          "copy it from the header Cranberrystand-Request-Id");
    }
    ImmutableList<ExplainReport> reports = readAll("explain/" + id, ExplainReport.class);
    ImmutableList<ExplainReport> issuers =
        reports.stream().filter(ExplainReport::issuedHere).collect(ImmutableList.toImmutableList());
    if (issuers.isEmpty()) {
      String issuer = Splitter.on('.').splitToList(id).get(0);
      throw CommandException.failed(
          "none of the nodes that answered issued " + id,
          "add the operator address of "
              + issuer
              + "; if it was restarted since, the outcome is no longer recorded");
    }
    ExplainReport report = issuers.get(0);
    output().print(report, () -> printText(report));
    return ExitCode.SUCCESS;
  }

  private void printText(ExplainReport report) {
    output().out().printf("%s: %s%n", report.requestId(), report.outcome());
    output()
        .out()
        .printf(
            "  node %s, shop %s, team %s, kind %s, tier %s%n",
            report.node(), report.shop(), report.team(), report.kind(), report.tier());
    for (ExplainReport.Step step : report.steps()) {
      output()
          .out()
          .printf("  %8d ms  %s %s%n", step.millisAfterArrival(), step.action(), step.detail());
    }
    if (report.steps().isEmpty()) {
      output().out().println("  the steps are no longer retained");
    }
  }
}
