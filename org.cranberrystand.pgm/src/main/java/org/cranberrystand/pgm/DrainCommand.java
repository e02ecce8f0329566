package org.cranberrystand.pgm;

import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.ChangeReport;
import org.cranberrystand.wire.operator.OperatorApi;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Drains nodes. */
@Command(
    name = "drain",
    mixinStandardHelpOptions = true,
    description = {
      "Drains every given node: it accepts no new requests and completes the ones in progress.",
      "A drained node cannot resume; start a new process instead."
    })
final class DrainCommand implements Callable<Integer> {
  @Mixin private Output output;
  @Mixin private ConnectionOptions connection;
  @Mixin private ChangeOptions change;

  @Override
  public Integer call() {
    OperatorClient client = connection.createClient();
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
      throw CommandException.failed(
          (client.addresses().size() - reports.size())
              + " of "
              + client.addresses().size()
              + " nodes did not accept the drain command",
          "check the addresses, the token and that the nodes run");
    }
    return ExitCode.SUCCESS;
  }

  private void printReport(ChangeReport report) {
    String prefix = report.dryRun() ? "would be " : "";
    output.out().println(report.node() + ": " + prefix + report.result());
  }
}
