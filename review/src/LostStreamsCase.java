import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * All gateways are killed at the same moment while streams are under way. Clients take their
 * streams up again once the machines are in touch. All runners are of one version of the software.
 */
final class LostStreamsCase {
  private static final int GATEWAYS = 2;
  private static final int RUNNERS = 3;
  private static final int SLOTS = 10;
  private static final int EVENTS = 200;
  private static final int EVENT_MILLIS = 20;
  private static final int STREAMS = 14;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long MARGIN_MILLIS = 100;
  private static final long BREAK_MILLIS = 1_500;

  private LostStreamsCase() {}

  public static void main(String[] args) throws Exception {
    Setup.main(args, LostStreamsCase::run);
  }

  private static void answer(RunnerStandIn runner, Http.Head head, byte[] body, OutputStream out)
      throws IOException {
    String last = head.header("last-event-id");
    RunnerStandIn.write(out, RunnerStandIn.streamHead(runner, head));
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      Threads.sleep(EVENT_MILLIS);
      RunnerStandIn.write(out, RunnerStandIn.event(i, "version " + runner.version));
    }
    RunnerStandIn.write(out, "0\r\n\r\n");
  }

  /** Sends streams at the same time and returns their answers. */
  private static List<Caller.Answer> streams(
      Caller caller,
      List<GatewayProcess> gateways,
      String name,
      List<String> headers,
      long leaveMillis)
      throws InterruptedException {
    List<Caller.Answer> answers = Collections.synchronizedList(new ArrayList<>());
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < headers.size(); i++) {
      int number = i;
      String prompt = "Prompt-Prefix: a1b2:60,e" + number + ":40\r\n";
      Thread thread =
          new Thread(
              () ->
                  answers.add(
                      caller.stream(
                          gateways.get(number % GATEWAYS),
                          "/balcao/2f",
                          name + "-" + number,
                          "k1",
                          prompt + headers.get(number),
                          leaveMillis)));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return answers;
  }

  private static long begun(List<Caller.Answer> answers) {
    return answers.stream().filter(a -> a.status() == 200 && a.body().contains("id: ")).count();
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
      for (int i = 0; i < RUNNERS; i++) {
        runners.add(
            new RunnerStandIn(
                "i-" + i, "assistente", "zone-a", SLOTS, store, record, LostStreamsCase::answer));
      }
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
      Caller caller = new Caller(record);
      Threads.start(
          "trouble",
          () -> {
            Threads.sleep(BREAK_MILLIS);
            if (trouble) {
              restart(gateways, record);
            }
          });
      List<Caller.Answer> first =
          // Without the kill, the clients' connections break by themselves.
          streams(
              caller,
              gateways,
              "stream",
              Collections.nCopies(STREAMS, ""),
              trouble ? 0 : BREAK_MILLIS);
      List<String> headers = new ArrayList<>();
      for (Caller.Answer answer : first) {
        // A client takes up what broke, at the event after the last one that it has.
        if (!answer.body().contains("id: " + EVENTS + "\n") && answer.body().contains("id: ")) {
          String lastId = answer.body().substring(answer.body().lastIndexOf("id: ") + 4);
          headers.add(
              "Last-Event-Id: "
                  + lastId.substring(0, lastId.indexOf('\n'))
                  + "\r\nResumes: "
                  + answer.attempt()
                  + "\r\n");
        }
      }
      record.say("streams: " + first.size() + ", broken: " + headers.size());
      for (GatewayProcess gateway : gateways) {
        gateway.awaitReady(15_000);
      }
      Threads.sleep(CONTACT_MILLIS + MARGIN_MILLIS);
      List<Caller.Answer> taken = streams(caller, gateways, "resumed", headers, 0);
      List<Caller.Answer> fresh =
          streams(caller, gateways, "fresh", Collections.nCopies(STREAMS, ""), 0);
      record.say("streams taken up again that went on: " + begun(taken) + " of " + taken.size());
      record.say("new streams that began: " + begun(fresh) + " of " + fresh.size());
      if (taken.size() < 12 || begun(fresh) < 12) {
        throw new IllegalStateException("too few streams");
      }
      return begun(taken) * fresh.size() * 2 >= begun(fresh) * taken.size();
    } finally {
      gateways.forEach(GatewayProcess::close);
      runners.forEach(RunnerStandIn::close);
    }
  }

  /** Kills all gateways at the same moment and starts them again after a short delay. */
  private static void restart(List<GatewayProcess> gateways, Record record) {
    try {
      record.say("all gateways are killed");
      for (GatewayProcess gateway : gateways) {
        gateway.signal("KILL");
      }
      Threads.sleep(1_000);
      for (GatewayProcess gateway : gateways) {
        gateway.startAgain();
      }
      record.say("all gateways are started again");
    } catch (IOException e) {
      record.line("restart failed: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
