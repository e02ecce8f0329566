package org.cranberrystand.pgm;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.ExplainReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tells what became of a request. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = {
      "Tells what became of a request, by the identifier in Cranberrystand-Request-Id.",
      "Only the node that issued the identifier knows; its name is the first part of it."
    })
final class ExplainCommand extends NodeCalls implements Callable<Integer> {
  @Parameters(paramLabel = "ID", description = "The request identifier.")
  private String id;

  @Override
  public Integer call() {
    if (!id.matches("[A-Za-z0-9._-]+")) {
      throw CommandFailure.invalid(
          "this is not a request identifier", "copy it from the header Cranberrystand-Request-Id");
    }
    ImmutableList<ExplainReport> reports = readAll("explain/" + id, ExplainReport.class);
    ImmutableList<ExplainReport> issuers =
        reports.stream().filter(ExplainReport::issuedHere).collect(ImmutableList.toImmutableList());
    if (issuers.isEmpty()) {
      String issuer = Splitter.on('.').splitToList(id).get(0);
      throw CommandFailure.failed(
          "none of the nodes asked issued this identifier",
          "add the operator address of "
              + issuer
              + "; if it was restarted since, the outcome is not on record any more");
    }
    ExplainReport report = issuers.get(0);
    output().print(report, () -> printText(report));
    return ExitCode.DONE;
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
      output().out().println("  the steps are not held any more");
    }
  }
}
