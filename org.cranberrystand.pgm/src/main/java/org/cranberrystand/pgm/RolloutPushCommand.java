package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.operator.ChangeReport;
import org.cranberrystand.wire.operator.OperatorApi;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sends a signed bundle to one or all given nodes. */
@Command(
    name = "push",
    mixinStandardHelpOptions = true,
    description = {
      "Sends a signed bundle to the first reachable node of those given.",
      "The nodes distribute it to each other; also publish it in the configuration service."
    })
final class RolloutPushCommand implements Callable<Integer> {
  @Mixin private Output output;
  @Mixin private ConnectionOptions connection;
  @Mixin private ChangeOptions change;

  @Parameters(paramLabel = "FILE", description = "The signed bundle.")
  private Path file;

  @Option(names = "--all", description = "Send it to every given node.")
  private boolean allNodes;

  @Override
  public Integer call() {
    byte[] body = Json.toBytes(BundleFiles.readForPush(file));
    BundleFiles.read(file);
    OperatorClient client = connection.createClient();
    List<ChangeReport> reports = new ArrayList<>();
    boolean failed = false;
    for (HostAndPort address : client.addresses()) {
      OperatorClient.Reply<ChangeReport> reply =
          client.change(address, OperatorApi.PREFIX + "bundle", body, change, ChangeReport.class);
      if (reply.document() == null) {
        output.note(address + ": " + reply.failure());
        failed |= allNodes;
        continue;
      }
      reports.add(reply.document());
      if (!allNodes) {
        break;
      }
    }
    output.print(reports, () -> reports.forEach(this::printReport));
    if (reports.isEmpty()) {
      throw CommandException.failed(
          "no node accepted the bundle", "specify the operator address of a running node");
    }
    failed |= reports.stream().anyMatch(report -> !report.done());
    return failed ? ExitCode.FAILED : ExitCode.SUCCESS;
  }

  private void printReport(ChangeReport report) {
    output
        .out()
        .printf("%s: %s%s%n", report.node(), report.dryRun() ? "would be " : "", report.result());
    ImmutableList.copyOf(report.findings()).forEach(f -> output.out().println("  " + f));
    if (!report.done()) {
      output.note(
          switch (report.result()) {
            case "older" -> "next: a newer version is in force; sign with a higher version";
            case "conflict" ->
                "next: other content with this version is in force; sign with a higher version";
            case "incomplete" ->
                "next: copy the parts written by \"bundle sign\" to "
                    + BundleFiles.partDirectory(file);
            default -> "next: sign with a key that the settings of the nodes trust";
          });
    }
  }
}
