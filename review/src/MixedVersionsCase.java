import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A runner starts again under its Id with another version of its software while the store is down;
 * then another runner crashes. Counts the streams that hold events of both versions.
 */
final class MixedVersionsCase {
  private static final int GATEWAYS = 2;
  private static final int SLOTS = 10;
  private static final int RUNNERS = 12;
  private static final int EVENTS = 80;
  private static final int STREAMS = 100;
  private static final long STORE_DOWN_MILLIS = 4_500;

  /** ORDER is broken by more than so many streams. */
  private static final int ALLOWED_STREAMS = 2;

  private MixedVersionsCase() {}

  public static void main(String[] args) throws Exception {
    Setup.main(args, MixedVersionsCase::run);
  }

  /** Writes the events from the one after Last-Event-Id on; each names the version. */
  private static void answer(RunnerStandIn runner, Http.Head head, byte[] body, OutputStream out)
      throws IOException {
    String last = head.header("last-event-id");
    RunnerStandIn.write(out, RunnerStandIn.streamHead(runner, head));
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      Threads.sleep(50);
      RunnerStandIn.write(out, RunnerStandIn.event(i, "version " + runner.version));
    }
    RunnerStandIn.write(out, "0\r\n\r\n");
  }

  private static RunnerStandIn runner(
      String id, String version, int port, StoreStandIn store, Record record) throws IOException {
    return new RunnerStandIn(
        id, "assistente", "zone-a", SLOTS, store, record, MixedVersionsCase::answer, version, port);
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    List<GatewayProcess> gateways = new ArrayList<>();
    List<RunnerStandIn> runners = new ArrayList<>();
    try (StoreStandIn store = new StoreStandIn()) {
      store.put(
          "op/config",
          Setup.configuration(
              10,
              List.of(
                  Setup.route("/balcao/", "streaming", "assistente", 2)
                      .replace("\"Kind\"", "\"StreamResume\":true,\"Kind\"")),
              List.of("assistente"),
              List.of(Setup.tenant("estrela", "k1"))));
      for (int i = 1; i <= RUNNERS; i++) {
        runners.add(runner("i-" + i, "1", 0, store, record));
      }
      RunnerStandIn crashing = runners.get(0);
      RunnerStandIn replaced = runners.get(RUNNERS - 1);
      List<String> ips = Setup.freeIps(GATEWAYS);
      for (int i = 0; i < GATEWAYS; i++) {
        String address = "127.0.0.1:" + store.address().getPort();
        gateways.add(new GatewayProcess(Setup.root(), folder, i, ips, address));
        gateways.get(i).start();
      }
      for (GatewayProcess gateway : gateways) {
        gateway.awaitReady(15_000);
      }
      Threads.sleep(2_000);
      long startNanos = System.nanoTime();
      if (trouble) {
        record.say("store: down");
        store.setDown(true);
      }
      Threads.sleep(300);
      record.say("runner " + replaced.id + " of version 1 ends");
      int port = replaced.port();
      replaced.close();
      Caller caller = new Caller(record);
      List<Caller.Answer> answers = Collections.synchronizedList(new ArrayList<>());
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        int number = i;
        Thread thread =
            new Thread(
                () ->
                    answers.add(
                        caller.stream(
                            gateways.get(number % GATEWAYS),
                            "/balcao/2f",
                            "stream-" + number,
                            "k1",
                            "Prompt-Prefix: a1b2:60,e" + number + ":40\r\n")));
        thread.start();
        threads.add(thread);
        Threads.sleep(7);
      }
      Threads.sleep(300);
      runners.add(runner(replaced.id, "2", port, store, record));
      record.say("runner " + replaced.id + " starts again with version 2");
      Threads.sleep(1_000);
      if (trouble) {
        record.say("runner " + crashing.id + " of version 1 crashes");
        crashing.close();
        Threads.sleepUntil(startNanos + STORE_DOWN_MILLIS * 1_000_000);
        store.setDown(false);
        record.say("store: up");
      }
      for (Thread thread : threads) {
        thread.join();
      }
      int mixed = 0;
      int whole = 0;
      for (Caller.Answer answer : answers) {
        boolean both =
            answer.body().contains("version 1") && answer.body().contains("version 2");
        mixed += both ? 1 : 0;
        whole += answer.status() == 200 && answer.error() == null ? 1 : 0;
        if (both) {
          record.line(
              "BROKEN: "
                  + answer.attempt()
                  + " has event "
                  + answer.body().split("version 1", -1).length
                  + " and later ones of version 2");
        }
      }
      record.say(
          "streams: " + answers.size() + ", whole: " + whole + ", of two versions: " + mixed);
      if (whole == 0) {
        throw new IllegalStateException("no stream was served");
      }
      return mixed <= ALLOWED_STREAMS;
    } finally {
      gateways.forEach(GatewayProcess::close);
      runners.forEach(RunnerStandIn::close);
    }
  }
}
