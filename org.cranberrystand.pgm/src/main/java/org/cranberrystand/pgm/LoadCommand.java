package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.pgm.load.Flood;
import org.cranberrystand.pgm.load.LoadOptions;
import org.cranberrystand.pgm.load.LoadReport;
import org.cranberrystand.pgm.load.LoadRunner;
import org.cranberrystand.pgm.load.MixParser;
import org.cranberrystand.pgm.load.RequestClass;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.Json;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Drives a load against a fleet. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = {
      "Sends requests at a given rate, whether or not earlier ones were answered, and reports",
      "goodput, first token, token gap and outcomes per tier.",
      "Exit code 0 if every request was answered, 1 otherwise."
    })
final class LoadCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Option(
      names = "--address",
      required = true,
      paramLabel = "ADDRESS",
      description = "Caller listener of a node as HOST:PORT; repeat it for several nodes.")
  private List<String> addresses;

  @ArgGroup(multiplicity = "1")
  private Source source;

  @Option(
      names = "--rate",
      required = true,
      paramLabel = "N",
      description = "Arrivals per second of all classes together.")
  private double rate;

  @Option(
      names = "--duration",
      paramLabel = "SECONDS",
      defaultValue = "10",
      description = "How long requests arrive. Default: ${DEFAULT-VALUE}.")
  private double durationSeconds;

  @Option(
      names = "--grace",
      paramLabel = "SECONDS",
      defaultValue = "30",
      description = "How long to wait for answers afterwards. Default: ${DEFAULT-VALUE}.")
  private double graceSeconds;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "Seed of arrivals and content. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--flood",
      paramLabel = "KIND=FACTOR@START-END",
      description = "Multiply the rate of a kind between two times in seconds; repeatable.")
  private List<String> floods = List.of();

  @Option(
      names = "--attempts",
      paramLabel = "N",
      defaultValue = "3",
      description = "How often a request is sent at most. Default: ${DEFAULT-VALUE}.")
  private int maxAttempts;

  @Option(
      names = "--max-in-flight",
      paramLabel = "N",
      defaultValue = "5000",
      description =
          "Requests above this number are counted and not sent. Default: ${DEFAULT-VALUE}.")
  private int maxInFlight;

  @Option(names = "--report", paramLabel = "FILE", description = "Write a report in JSON.")
  private Path reportFile;

  /** Where the classes of requests come from. */
  static final class Source {
    @Option(names = "--mix", paramLabel = "FILE", description = "Mix of requests in TOML.")
    private Path mix;

    @ArgGroup(exclusive = false, multiplicity = "1")
    private Single single;
  }

  /** A load of one class. */
  static final class Single {
    @Option(names = "--kind", required = true, paramLabel = "KIND", description = "Kind of work.")
    private String kind;

    @Option(names = "--shop", required = true, paramLabel = "SHOP", description = "Shop.")
    private String shop;

    @Option(
        names = "--tier",
        paramLabel = "TIER",
        defaultValue = "standard",
        description = "Tier to report under. Default: ${DEFAULT-VALUE}.")
    private String tier;

    @Option(names = "--service", description = "The kind is served by a plain service.")
    private boolean service;

    @Option(names = "--once", description = "The kind may not be repeated; send identifiers.")
    private boolean once;

    @Option(
        names = "--max-tokens",
        paramLabel = "N",
        defaultValue = "16",
        description = "Limit of the output. Default: ${DEFAULT-VALUE}.")
    private int maxTokens;

    @Option(
        names = "--prompt-chars",
        paramLabel = "N",
        defaultValue = "200",
        description = "Mean length of the prompt. Default: ${DEFAULT-VALUE}.")
    private int promptChars;
  }

  @Override
  public Integer call() throws InterruptedException {
    LoadReport report = new LoadRunner(options()).run();
    if (reportFile != null) {
      BundleFiles.write(reportFile, Json.toText(report) + "\n", true, false);
    }
    output.print(report, () -> printTable(report));
    boolean allAnswered =
        report.tiers().values().stream()
            .allMatch(t -> t.arrived() == t.outcomes().getOrDefault("answered", 0L));
    return allAnswered ? ExitCode.DONE : ExitCode.FAILED;
  }

  private LoadOptions options() {
    if (!(rate > 0 && rate <= 100_000) || !(durationSeconds > 0) || !(graceSeconds >= 0)) {
      throw CommandFailure.invalid(
          "rate and duration must be positive", "give --rate up to 100000 and --duration above 0");
    }
    if (maxAttempts < 1 || maxInFlight < 1) {
      throw CommandFailure.invalid(
          "limits must be positive", "give --attempts and --max-in-flight of at least 1");
    }
    ImmutableList<RequestClass> classes = classes();
    ImmutableList.Builder<HostAndPort> parsed = ImmutableList.builder();
    addresses.forEach(text -> parsed.add(Connection.address(text, "--address")));
    ImmutableList.Builder<Flood> parsedFloods = ImmutableList.builder();
    floods.forEach(text -> parsedFloods.add(flood(text, classes)));
    return new LoadOptions(
        parsed.build(),
        classes,
        parsedFloods.build(),
        rate,
        duration(durationSeconds),
        duration(graceSeconds),
        seed,
        maxAttempts,
        maxInFlight);
  }

  private ImmutableList<RequestClass> classes() {
    if (source.mix != null) {
      Checked<ImmutableList<RequestClass>> mix =
          MixParser.parse(source.mix.toString(), BundleFiles.readText(source.mix));
      if (mix instanceof Checked.Invalid<ImmutableList<RequestClass>> invalid) {
        throw CommandFailure.invalid(invalid.findings());
      }
      return mix.orElseThrow();
    }
    Single single = source.single;
    if (Tier.fromLabel(single.tier).isEmpty()) {
      throw CommandFailure.invalid(
          "\"" + single.tier + "\" is not a tier", "use urgent, standard or deferrable");
    }
    RequestClass.Builder builder =
        RequestClass.builder(single.kind, single.shop)
            .reportAs(single.tier, single.shop)
            .model(single.promptChars, single.maxTokens)
            .repeatable(!single.once);
    return ImmutableList.of(single.service ? builder.service().build() : builder.build());
  }

  private static Flood flood(String text, ImmutableList<RequestClass> classes) {
    Flood flood =
        Flood.parse(text)
            .orElseThrow(
                () ->
                    CommandFailure.invalid(
                        "--flood \"" + text + "\" has another form",
                        "give KIND=FACTOR@START-END, as in consultation=20@5-15"));
    if (classes.stream().noneMatch(c -> c.kind().equals(flood.kind()))) {
      throw CommandFailure.invalid(
          "--flood names \"" + flood.kind() + "\", which the mix does not contain",
          "name a kind of the mix");
    }
    return flood;
  }

  private static Duration duration(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  private void printTable(LoadReport report) {
    Output.Table table =
        new Output.Table(
            "TIER",
            "ARRIVED",
            "GOOD/S",
            "TOKENS/S",
            "FIRST p50",
            "p95",
            "p99 ms",
            "GAP p50",
            "p95",
            "p99 ms",
            "RESENT",
            "OUTCOMES");
    report
        .tiers()
        .forEach(
            (tier, s) ->
                table.row(
                    tier,
                    s.arrived(),
                    round(s.goodputPerSecond()),
                    round(s.tokensPerSecond()),
                    round(s.firstToken().p50Millis()),
                    round(s.firstToken().p95Millis()),
                    round(s.firstToken().p99Millis()),
                    round(s.tokenGap().p50Millis()),
                    round(s.tokenGap().p95Millis()),
                    round(s.tokenGap().p99Millis()),
                    s.resent(),
                    outcomes(s.outcomes(), s.arrived())));
    table.printTo(output.out());
    output
        .out()
        .printf(
            "seed %d, %d arrivals, sent at most %s ms late, %d calls for addresses%n",
            report.seed(),
            report.arrived(),
            round(report.maxSendDelayMillis()),
            report.addressCalls());
  }

  private static String outcomes(Map<String, Long> outcomes, long arrived) {
    long ended = outcomes.values().stream().mapToLong(Long::longValue).sum();
    String unfinished = ended < arrived ? ", unfinished=" + (arrived - ended) : "";
    String text = outcomes.toString();
    return text.substring(1, text.length() - 1) + unfinished;
  }

  private static String round(double value) {
    return "%.1f".formatted(value);
  }
}
