package org.cranberrystand.bench.jmh;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.ImmutableLongArray;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.IntFunction;
import org.cranberrystand.bench.report.Measure;
import org.cranberrystand.identity.Claim;
import org.cranberrystand.identity.IdentifierIssuer;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.identity.RequestLedger;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MemberState;
import org.cranberrystand.membership.MembershipView;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.placement.CacheGapPolicy;
import org.cranberrystand.placement.PrefixIndex;
import org.cranberrystand.util.ManualClock;
import org.cranberrystand.wire.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the heap bytes that each instance of node state retains. */
@Command(
    name = "state",
    mixinStandardHelpOptions = true,
    description = "Measures retained bytes per team, engine, queued request and other state.")
public final class StateCommand implements Callable<Integer> {
  private static final int TEAM_COUNT = 24_000;
  private static final int ENGINE_COUNT = 3_100;
  private static final int QUEUED_REQUESTS = 20_000;
  private static final int PREFIX_BLOCKS = 200_000;
  private static final int LEDGER_ENTRIES = 50_000;
  private static final int MEMBER_RECORDS = 20_000;
  private static final int SMALL_STATE_DIVISOR = 20;
  private static final Duration IDENTIFIER_LIFETIME = Duration.ofMinutes(10);

  @Spec private CommandSpec spec;

  @Option(names = "--out", required = true, description = "the file for the results as JSON")
  private Path out;

  @Override
  public Integer call() throws IOException {
    Map<String, Double> bytes = new LinkedHashMap<>();
    bytes.put("active_team", perInstance(TEAM_COUNT, StateCommand::buildTeams));
    bytes.put("engine", perInstance(ENGINE_COUNT, engines -> new SchedulerLoad(engines, 1)));
    bytes.put("queued_request", perInstance(QUEUED_REQUESTS, StateCommand::buildQueue));
    bytes.put("prefix_block", perInstance(PREFIX_BLOCKS, StateCommand::buildPrefixIndex));
    bytes.put("ledger_entry", perInstance(LEDGER_ENTRIES, StateCommand::buildLedger));
    bytes.put("member_record", perInstance(MEMBER_RECORDS, StateCommand::buildMembers));
    ObjectNode root = Json.MAPPER.createObjectNode();
    ObjectNode node = root.putObject("retainedBytes");
    PrintWriter writer = spec.commandLine().getOut();
    bytes.forEach(
        (name, value) -> {
          node.put(name, Measure.round(value));
          writer.printf(Locale.ROOT, "%-16s %10.1f B%n", name, value);
        });
    writer.flush();
    Files.write(out, Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(root));
    return 0;
  }

  private static double perInstance(int many, IntFunction<Object> builder) {
    return RetainedBytes.perInstance(many / SMALL_STATE_DIVISOR, many, builder);
  }

  /** Finishes one request of each team, so that the state retains only the usage per team. */
  private static Object buildTeams(int teams) {
    SchedulerLoad load = new SchedulerLoad(1, teams);
    for (int i = 0; i < teams; i++) {
      load.decide();
    }
    return load;
  }

  private static Object buildQueue(int requests) {
    SchedulerLoad load = new SchedulerLoad(1, 1);
    load.fillQueue(requests);
    return load;
  }

  private static Object buildPrefixIndex(int blocks) {
    PrefixIndex index = new PrefixIndex(blocks, CacheGapPolicy.UNCERTAIN);
    for (int i = 0; i < blocks; i++) {
      index.recordStored("engine-0", ImmutableLongArray.of(i * 0x9E3779B97F4A7C15L));
    }
    return index;
  }

  /** Creates answered requests with evicted answers, the most common entries of a busy node. */
  private static Object buildLedger(int entries) {
    IdentifierIssuer issuer =
        new IdentifierIssuer(
            new Incarnation("node-1", 1), new ManualClock(0), IDENTIFIER_LIFETIME.toNanos());
    RequestLedger ledger = new RequestLedger(issuer, 0);
    for (int i = 0; i < entries; i++) {
      RequestId id = issuer.next();
      String digest = String.format(Locale.ROOT, "%064x", i);
      if (ledger.claim(id, "shop", digest) instanceof Claim.Granted granted) {
        RecordedAnswer answer = new RecordedAnswer(200, ImmutableMap.of(), new byte[] {1});
        ledger.complete(granted.entry(), new Outcome.Answered(answer));
      }
    }
    return List.of(issuer, ledger);
  }

  private static Object buildMembers(int members) {
    List<MemberRecord> records = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      records.add(
          new MemberRecord(
              "node-" + i,
              String.format(Locale.ROOT, "%016x", i),
              "10.0.0.1:" + i,
              "10.0.1.1:" + i,
              "fd-" + i % 7,
              MemberState.ALIVE,
              i,
              1,
              50));
    }
    return MembershipView.of(records);
  }
}
