package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.operator.LoadReport;
import org.cranberrystand.wire.operator.NodeReport;
import org.cranberrystand.wire.operator.OperatorApi;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Shows nodes, tiers and the busiest teams, refreshed at an interval. */
@Command(
    name = "top",
    mixinStandardHelpOptions = true,
    description = "Shows nodes, tiers and the busiest teams, refreshed until interrupted.")
final class TopCommand implements Callable<Integer> {
  private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

  @Mixin private Output output;
  @Mixin private ConnectionOptions connection;

  @Option(
      names = "--interval",
      paramLabel = "SECONDS",
      defaultValue = "2",
      description = "Time between two refreshes. Default: ${DEFAULT-VALUE}.")
  private int intervalSeconds;

  @Option(
      names = "--count",
      paramLabel = "N",
      defaultValue = "0",
      description = "Exit after this many refreshes; 0 for no limit.")
  private int maxSnapshots;

  @Option(
      names = "--teams",
      paramLabel = "N",
      defaultValue = "10",
      description = "Maximum number of teams to show. Default: ${DEFAULT-VALUE}.")
  private int teamCount;

  /**
   * State of the fleet at one refresh.
   *
   * @param nodes the nodes that answered
   * @param failures the failures of the nodes that did not answer, by address
   * @param tiers requests of all nodes by tier
   * @param teams requests of all nodes by team, the busiest first
   */
  record Snapshot(
      List<NodeReport> nodes,
      Map<String, String> failures,
      List<LoadReport.Group> tiers,
      List<LoadReport.Group> teams) {}

  @Override
  public Integer call() throws InterruptedException {
    OperatorClient client = connection.createClient();
    for (int shownCount = 1; ; shownCount++) {
      Snapshot snapshot = read(client);
      output.print(snapshot, () -> print(snapshot));
      if (shownCount == maxSnapshots) {
        return snapshot.failures().isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILED;
      }
      Thread.sleep(intervalSeconds * 1_000L);
    }
  }

  private Snapshot read(OperatorClient client) {
    List<NodeReport> nodes = new ArrayList<>();
    Map<String, String> failures = new LinkedHashMap<>();
    for (OperatorClient.Reply<NodeReport> reply :
        client.readAll(OperatorApi.PREFIX + "nodes", NodeReport.class)) {
      if (reply.document() == null) {
        failures.put(reply.address().toString(), reply.failure());
      } else {
        nodes.add(reply.document());
      }
    }
    List<LoadReport.Group> teams = sumByName(client, "teams");
    teams.sort((a, b) -> Integer.compare(b.queued() + b.running(), a.queued() + a.running()));
    return new Snapshot(
        nodes,
        failures,
        sumByName(client, "queues"),
        ImmutableList.copyOf(teams.subList(0, Math.min(teamCount, teams.size()))));
  }

  private static List<LoadReport.Group> sumByName(OperatorClient client, String path) {
    Map<String, LoadReport.Group> sums = new LinkedHashMap<>();
    for (OperatorClient.Reply<LoadReport> reply :
        client.readAll(OperatorApi.PREFIX + path, LoadReport.class)) {
      if (reply.document() != null) {
        for (LoadReport.Group group : reply.document().groups()) {
          sums.merge(group.name(), group, TopCommand::add);
        }
      }
    }
    return new ArrayList<>(sums.values());
  }

  private static LoadReport.Group add(LoadReport.Group a, LoadReport.Group b) {
    return new LoadReport.Group(
        a.name(), a.share(), a.queued() + b.queued(), a.running() + b.running());
  }

  private void print(Snapshot snapshot) {
    PrintWriter out = output.out();
    if (maxSnapshots != 1) {
      out.print(CLEAR_SCREEN);
    }
    Output.Table nodes = new Output.Table("NODE", "DOMAIN", "STATE", "BUNDLE", "LEDGER");
    snapshot
        .nodes()
        .forEach(
            n ->
                nodes.addRow(
                    n.node(), n.failureDomain(), n.state(), n.bundleVersion(), n.ledgerEntries()));
    snapshot.failures().forEach((address, why) -> nodes.addRow(address, "-", why, "-", "-"));
    nodes.printTo(out);
    out.println();
    print(out, "TIER", "SHARE", snapshot.tiers());
    out.println();
    print(out, "TEAM", "WEIGHT", snapshot.teams());
  }

  private static void print(
      PrintWriter out, String name, String share, List<LoadReport.Group> groups) {
    Output.Table table = new Output.Table(name, share, "QUEUED", "RUNNING");
    groups.forEach(g -> table.addRow(g.name(), g.share(), g.queued(), g.running()));
    table.printTo(out);
  }
}
