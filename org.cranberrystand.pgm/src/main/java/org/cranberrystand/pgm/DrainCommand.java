package org.cranberrystand.pgm;

import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.ChangeReport;
import org.cranberrystand.wire.operator.OperatorApi;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Makes nodes leave. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description = {
      "Makes every given node leave: it takes no new work and completes its answers in progress.",
      "A node that drains does not come back; start a new process instead."
    })
final class DrainCommand implements Callable<Integer> {
  @Mixin private Output output;
  @Mixin private Connection connection;
  @Mixin private ChangeOptions change;

  @Override
  public Integer call() {
    OperatorClient client = connection.open();
    List<ChangeReport> reports = new ArrayList<>();
    for (HostAndPort address : client.addresses()) {
      OperatorClient.Reply<ChangeReport> reply =
          client.change(
              address, OperatorApi.PREFIX + "drain", new byte[0], change, ChangeReport.class);
      if (reply.document() == null) {
        output.note(address + ": " + reply.failure());
      } else {
        reports.add(reply.document());
      }
    }
    output.print(reports, () -> reports.forEach(this::printReport));
    if (reports.size() < client.addresses().size()) {
      throw CommandFailure.failed(
          "not every node took the command", "check the addresses, the token and that they run");
    }
    return ExitCode.DONE;
  }

  private void printReport(ChangeReport report) {
    String prefix = report.dryRun() ? "would be " : "";
    output.out().println(report.node() + ": " + prefix + report.result());
  }
}
