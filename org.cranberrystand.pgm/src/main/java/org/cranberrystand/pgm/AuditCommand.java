package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Callable;
import org.cranberrystand.audit.AuditEntry;
import org.cranberrystand.audit.AuditLoss;
import org.cranberrystand.audit.AuditMerge;
import org.cranberrystand.audit.AuditRecord;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.operator.AuditPage;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the audit trails of all nodes, merged in causal order. */
@Command(
    name = "audit",
    mixinStandardHelpOptions = true,
    description = {
      "Shows the audit entries of all given nodes in causal order and marks lost entries.",
      "With --json, each entry and each loss is one line of JSON."
    })
final class AuditCommand extends NodeQueryCommand implements Callable<Integer> {
  private static final long FOLLOW_INTERVAL_MILLIS = 1_000;

  @Option(names = "--node", paramLabel = "NAME", description = "Only entries of this node.")
  private String node;

  @Option(names = "--event", paramLabel = "NAME", description = "Only entries of this event.")
  private LogEvent event;

  @Option(
      names = "--who",
      paramLabel = "NAME",
      description = "Only entries of changes by this operator.")
  private String who;

  @Option(
      names = "--since",
      paramLabel = "TIME",
      description = "Only entries at or after this time, for example 2026-01-31T06:00:00Z.")
  private Instant since;

  @Option(
      names = "--follow",
      description = "Poll for new entries and print them until interrupted.")
  private boolean follow;

  private final Set<AuditEntry> entries = new LinkedHashSet<>();
  private final Set<AuditMerge.IncarnationKey> knownIncarnations = new HashSet<>();
  private final Set<AuditRecord> printedRecords = new HashSet<>();

  @Override
  public Integer call() throws InterruptedException {
    ImmutableList<AuditPage> pages = readAndPrintPages();
    while (follow) {
      Thread.sleep(FOLLOW_INTERVAL_MILLIS);
      try {
        readAndPrintPages();
      } catch (CommandException e) {
        output().note("warning: " + e.getMessage() + "; retrying");
      }
    }
    return exitCodeFor(pages);
  }

  /**
   * Reads the audit pages of all nodes and prints the records that were not printed before.
   *
   * <p>Entries of replaced nodes are kept, so that {@code --follow} still merges them after their
   * node is gone.
   */
  private ImmutableList<AuditPage> readAndPrintPages() {
    ImmutableList<AuditPage> pages = readAll("audit", AuditPage.class);
    Set<AuditMerge.IncarnationKey> runningIncarnations = new HashSet<>();
    for (AuditPage page : pages) {
      runningIncarnations.add(new AuditMerge.IncarnationKey(page.node(), page.incarnation()));
      entries.addAll(page.entries());
      page.known().stream()
          .filter(key -> pages.stream().anyMatch(p -> p.node().equals(key.node())))
          .forEach(knownIncarnations::add);
    }
    knownIncarnations.addAll(runningIncarnations);
    Set<String> answeredNodes = new HashSet<>();
    runningIncarnations.forEach(key -> answeredNodes.add(key.node()));
    // A node that does not answer may still run. Only another incarnation of the same node shows
    // that it was replaced, so the known incarnations of silent nodes count as running.
    knownIncarnations.stream()
        .filter(key -> !answeredNodes.contains(key.node()))
        .forEach(runningIncarnations::add);
    for (AuditRecord auditRecord :
        AuditMerge.merge(entries, knownIncarnations, runningIncarnations)) {
      if (isWanted(auditRecord) && printedRecords.add(auditRecord)) {
        print(auditRecord);
      }
    }
    output().out().flush();
    return pages;
  }

  private boolean isWanted(AuditRecord auditRecord) {
    if (node != null && !node.equals(auditRecord.node())) {
      return false;
    }
    if (auditRecord instanceof AuditEntry entry) {
      return (event == null || event == entry.event())
          && (who == null || who.equals(entry.who()))
          && (since == null || entry.time().wallMillis() >= since.toEpochMilli());
    }
    return true;
  }

  private void print(AuditRecord auditRecord) {
    if (auditRecord instanceof AuditEntry entry) {
      printEntry(entry);
    } else if (auditRecord instanceof AuditLoss loss) {
      printLoss(loss);
    }
  }

  private void printEntry(AuditEntry entry) {
    if (output().isJson()) {
      output().out().println(Json.toText(ImmutableMap.of("entry", entry)));
      return;
    }
    output()
        .out()
        .printf(
            "%s %s #%d %s who=%s why=%s %s%n",
            Instant.ofEpochMilli(entry.time().wallMillis()),
            entry.node(),
            entry.sequence(),
            entry.event(),
            entry.who(),
            entry.why(),
            entry.what());
  }

  private void printLoss(AuditLoss loss) {
    if (output().isJson()) {
      output().out().println(Json.toText(ImmutableMap.of("lost", loss)));
      return;
    }
    String range =
        loss.lastSequence() == 0
            ? "from #" + loss.firstSequence() + " on, if there were any,"
            : "#" + loss.firstSequence() + " to #" + loss.lastSequence();
    output()
        .out()
        .printf(
            "--- entries %s of %s (incarnation %s) are lost: %s%n",
            range, loss.node(), loss.incarnation(), loss.cause());
  }
}
