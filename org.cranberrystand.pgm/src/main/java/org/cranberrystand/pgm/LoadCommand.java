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

/** Generates load against a fleet and reports the results. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = {
      "Generates an open-loop load: requests are sent at the given rate, independently of the",
      "answers. Reports goodput, time to first token, inter-token latency and outcomes by tier.",
      "Exit code 0 if every request was answered, 1 otherwise."
    })
final class LoadCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Option(
      names = "--address",
      required = true,
      paramLabel = "ADDRESS",
      description = "Caller listener of a node as HOST:PORT; repeat the option for several nodes.")
  private List<String> addresses;

  @ArgGroup(multiplicity = "1")
  private ClassSource source;

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
      description = "How long requests are sent. Default: ${DEFAULT-VALUE}.")
  private double durationSeconds;

  @Option(
      names = "--grace",
      paramLabel = "SECONDS",
      defaultValue = "30",
      description =
          "How long to wait for answers after the last request. Default: ${DEFAULT-VALUE}.")
  private double graceSeconds;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "Seed of the arrival times and request bodies. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--flood",
      paramLabel = "KIND=FACTOR@START-END",
      description =
          "Multiply the rate of a kind by a factor from START to END seconds; repeatable.")
  private List<String> floodTexts = List.of();

  @Option(
      names = "--attempts",
      paramLabel = "N",
      defaultValue = "3",
      description = "Maximum number of attempts per request. Default: ${DEFAULT-VALUE}.")
  private int maxAttempts;

  @Option(
      names = "--max-in-flight",
      paramLabel = "N",
      defaultValue = "5000",
      description =
          "Maximum number of unanswered requests; more are counted but not sent."
              + " Default: ${DEFAULT-VALUE}.")
  private int maxInFlight;

  @Option(
      names = "--report",
      paramLabel = "FILE",
      description = "Write a JSON report to this file.")
  private Path reportFile;

  /** Source of the request classes: a mix file or options. */
  static final class ClassSource {
    @Option(names = "--mix", paramLabel = "FILE", description = "Mix of request classes in TOML.")
    private Path mixFile;

    @ArgGroup(exclusive = false, multiplicity = "1")
    private SingleClass singleClass;
  }

  /** Options that define a load of one request class. */
  static final class SingleClass {
    @Option(
        names = "--kind",
        required = true,
        paramLabel = "KIND",
        description = "Kind of the requests.")
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

    @Option(names = "--once", description = "The kind is not repeatable; send request identifiers.")
    private boolean nonRepeatable;

    @Option(
        names = "--max-tokens",
        paramLabel = "N",
        defaultValue = "16",
        description = "Limit of the output in tokens. Default: ${DEFAULT-VALUE}.")
    private int maxTokens;

    @Option(
        names = "--prompt-chars",
        paramLabel = "N",
        defaultValue = "200",
        description = "Mean length of the prompt in characters. Default: ${DEFAULT-VALUE}.")
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
    return allAnswered ? ExitCode.SUCCESS : ExitCode.FAILED;
  }

  private LoadOptions options() {
    if (!(rate > 0 && rate <= 100_000) || !(durationSeconds > 0) || !(graceSeconds >= 0)) {
      throw CommandException.invalid(
          "--rate "
              + rate
              + ", --duration "
              + durationSeconds
              + " or --grace "
              + graceSeconds
              + " is out of range",
          "specify --rate above 0 up to 100000, --duration above 0 and --grace of at least 0");
    }
    if (maxAttempts < 1 || maxInFlight < 1) {
      throw CommandException.invalid(
          "--attempts and --max-in-flight must be positive",
          "specify --attempts and --max-in-flight of at least 1");
    }
    ImmutableList<RequestClass> classes = readClasses();
    ImmutableList.Builder<HostAndPort> parsed = ImmutableList.builder();
    addresses.forEach(text -> parsed.add(ConnectionOptions.parseAddress(text, "--address")));
    ImmutableList.Builder<Flood> parsedFloods = ImmutableList.builder();
    floodTexts.forEach(text -> parsedFloods.add(parseFlood(text, classes)));
    return new LoadOptions(
        parsed.build(),
        classes,
        parsedFloods.build(),
        rate,
        toDuration(durationSeconds),
        toDuration(graceSeconds),
        seed,
        maxAttempts,
        maxInFlight);
  }

  private ImmutableList<RequestClass> readClasses() {
    if (source.mixFile != null) {
      Checked<ImmutableList<RequestClass>> mix =
          MixParser.parse(source.mixFile.toString(), BundleFiles.readText(source.mixFile));
      if (mix instanceof Checked.Invalid<ImmutableList<RequestClass>> invalid) {
        throw CommandException.invalid(invalid.findings());
      }
      return mix.orElseThrow();
    }
    SingleClass singleClass = source.singleClass;
    if (Tier.fromLabel(singleClass.tier).isEmpty()) {
      throw CommandException.invalid(
          "\"" + singleClass.tier + "\" is not a tier", "use urgent, standard or deferrable");
    }
    RequestClass.Builder builder =
        RequestClass.builder(singleClass.kind, singleClass.shop)
            .reportAs(singleClass.tier, singleClass.shop)
            .model(singleClass.promptChars, singleClass.maxTokens)
            .repeatable(!singleClass.nonRepeatable);
    return ImmutableList.of(singleClass.service ? builder.service().build() : builder.build());
  }

  private static Flood parseFlood(String text, ImmutableList<RequestClass> classes) {
    Flood flood =
        Flood.parse(text)
            .orElseThrow(
                () ->
                    CommandException.invalid(
                        "--flood \"" + text + "\" is malformed",
                        "specify KIND=FACTOR@START-END, for example consultation=20@5-15"));
    if (classes.stream().noneMatch(c -> c.kind().equals(flood.kind()))) {
      throw CommandException.invalid(
          "the kind \"" + flood.kind() + "\" of --flood is not in the mix",
          "specify a kind of the mix");
    }
    return flood;
  }

  private static Duration toDuration(double seconds) {
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
                table.addRow(
                    tier,
                    s.arrived(),
                    format(s.goodputPerSecond()),
                    format(s.tokensPerSecond()),
                    format(s.firstToken().p50Millis()),
                    format(s.firstToken().p95Millis()),
                    format(s.firstToken().p99Millis()),
                    format(s.tokenGap().p50Millis()),
                    format(s.tokenGap().p95Millis()),
                    format(s.tokenGap().p99Millis()),
                    s.resent(),
                    formatOutcomes(s.outcomes(), s.arrived())));
    table.printTo(output.out());
    output
        .out()
        .printf(
            "seed %d, %d arrivals, maximum send delay %s ms, %d calls for addresses%n",
            report.seed(),
            report.arrived(),
            format(report.maxSendDelayMillis()),
            report.addressCalls());
  }

  private static String formatOutcomes(Map<String, Long> outcomes, long arrived) {
    long endedCount = outcomes.values().stream().mapToLong(Long::longValue).sum();
    String unfinished = endedCount < arrived ? ", unfinished=" + (arrived - endedCount) : "";
    String text = outcomes.toString();
    return text.substring(1, text.length() - 1) + unfinished;
  }

  private static String format(double value) {
    return "%.1f".formatted(value);
  }
}
