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

/** Shows the changes on all nodes in causal order. */
@Command(
    name = "audit",
    mixinStandardHelpOptions = true,
    description = {
      "Shows the changes on all given nodes in causal order, and marks where entries are lost.",
      "With --json each entry or mark is one line of JSON."
    })
final class AuditCommand extends NodeCalls implements Callable<Integer> {
  private static final long FOLLOW_PAUSE_MILLIS = 1_000;

  @Option(names = "--node", paramLabel = "NAME", description = "Only entries of this node.")
  private String node;

  @Option(names = "--event", paramLabel = "NAME", description = "Only entries of this event.")
  private LogEvent event;

  @Option(names = "--who", paramLabel = "NAME", description = "Only entries of this author.")
  private String who;

  @Option(
      names = "--since",
      paramLabel = "TIME",
      description = "Only entries from this time on, as in 2026-01-31T06:00:00Z.")
  private Instant since;

  @Option(names = "--follow", description = "Keep showing new entries until interrupted.")
  private boolean follow;

  private final Set<AuditEntry> entries = new LinkedHashSet<>();
  private final Set<AuditMerge.IncarnationKey> known = new HashSet<>();
  private final Set<AuditRecord> printed = new HashSet<>();

  @Override
  public Integer call() throws InterruptedException {
    ImmutableList<AuditPage> pages = readPages();
    while (follow) {
      Thread.sleep(FOLLOW_PAUSE_MILLIS);
      try {
        readPages();
      } catch (CommandFailure e) {
        output().note("warning: " + e.getMessage() + "; trying again");
      }
    }
    return exitCodeFor(pages);
  }

  /** Entries of replaced nodes stay, so that a following reader loses nothing it has read. */
  private ImmutableList<AuditPage> readPages() {
    ImmutableList<AuditPage> pages = readAll("audit", AuditPage.class);
    Set<AuditMerge.IncarnationKey> running = new HashSet<>();
    for (AuditPage page : pages) {
      running.add(new AuditMerge.IncarnationKey(page.node(), page.incarnation()));
      entries.addAll(page.entries());
      page.known().stream()
          .filter(life -> pages.stream().anyMatch(p -> p.node().equals(life.node())))
          .forEach(known::add);
    }
    known.addAll(running);
    Set<String> answered = new HashSet<>();
    running.forEach(life -> answered.add(life.node()));
    // A node that did not answer now may still run; only another incarnation proves a replacement.
    known.stream().filter(life -> !answered.contains(life.node())).forEach(running::add);
    for (AuditRecord line : AuditMerge.merge(entries, known, running)) {
      if (isWanted(line) && printed.add(line)) {
        print(line);
      }
    }
    output().out().flush();
    return pages;
  }

  private boolean isWanted(AuditRecord line) {
    if (node != null && !node.equals(line.node())) {
      return false;
    }
    if (line instanceof AuditEntry entry) {
      return (event == null || event == entry.event())
          && (who == null || who.equals(entry.who()))
          && (since == null || entry.time().wallMillis() >= since.toEpochMilli());
    }
    return true;
  }

  private void print(AuditRecord line) {
    if (line instanceof AuditEntry entry) {
      printEntry(entry);
    } else if (line instanceof AuditLoss loss) {
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
