package review3;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;

/** Streams begin at a runner that has just started again with another version of its software. */
final class RestartedRunnerCase implements Case {
  private static final int RUNNERS = 6;
  private static final int SLOTS = 10;
  private static final int STREAMS = 54;
  private static final int EVENTS = 40;
  private static final long EVENT_GAP_MILLIS = 60;
  private static final long DOWN_MILLIS = 50;
  private static final long SETTLE_MILLIS = 6_000;

  private static final long BEFORE_CRASH_MILLIS = 700;
  private static final long STREAM_MILLIS = 12_000;

  /** The rule allows this many. */
  private static final int MAX_MIXED = 2;

  /** What a client has of a stream. */
  private record Stream(String id, List<Integer> events, Set<String> versions, boolean complete) {}

  private final List<Stream> streams = new CopyOnWriteArrayList<>();

  @Override
  public boolean holds(Lab lab) throws IOException {
    lab.store().put("op/config", config());
    List<RunnerStandIn> runners = new ArrayList<>();
    for (int i = 1; i <= RUNNERS; i++) {
      runners.add(lab.runner("i-" + i, "llm", SLOTS, RestartedRunnerCase::run));
    }
    List<GatewayProcess> gateways = List.of(lab.gateway(), lab.gateway(), lab.gateway());
    for (GatewayProcess gateway : gateways) {
      gateway.start();
    }
    for (GatewayProcess gateway : gateways) {
      gateway.awaitReady();
    }
    Threads.sleep(SETTLE_MILLIS);
    RunnerStandIn restarted = runners.get(0);
    if (!Lab.isUndisturbed()) {
      lab.log("runner i-1 of version v1 ends");
      restarted.crash();
      Threads.sleep(DOWN_MILLIS);
      restarted.startAgain("v2");
      lab.store().put("servers/" + restarted.id(), restarted.entry());
      lab.log("runner i-1 has started again with version v2, and its entry says so");
    }
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      String id = String.format(Locale.ROOT, "%016x", i + 1);
      GatewayProcess gateway = gateways.get(i % gateways.size());
      callers.add(Threads.start("caller", () -> receive(gateway, id)));
    }
    Threads.sleep(BEFORE_CRASH_MILLIS);
    lab.log("runner i-1 ends");
    lab.forget(restarted);
    restarted.crash();
    join(callers);
    int mixed = 0;
    int complete = 0;
    for (Stream stream : streams) {
      lab.log(
          "stream "
              + stream.id()
              + " versions="
              + stream.versions()
              + " events="
              + stream.events().size()
              + " complete="
              + stream.complete());
      mixed += stream.versions().size() > 1 ? 1 : 0;
      complete += stream.complete() ? 1 : 0;
    }
    lab.log(
        "streams="
            + streams.size()
            + " complete="
            + complete
            + " with events of two versions="
            + mixed);
    return mixed <= MAX_MIXED;
  }

  private static void join(List<Thread> threads) {
    for (Thread thread : threads) {
      try {
        thread.join(STREAM_MILLIS);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Sends the events after the one that the request names; each holds the version. */
  private static boolean run(RunnerStandIn runner, HttpHead request, byte[] body, Socket connection)
      throws IOException {
    String last = request.header("Last-Event-Id");
    String version = runner.version();
    OutputStream out = connection.getOutputStream();
    write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + runner.answerHeaders(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      Threads.sleep(EVENT_GAP_MILLIS);
      String event = "id: " + i + "\ndata: " + version + "\n\n";
      write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    write(out, "0\r\n\r\n");
    return true;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private void receive(GatewayProcess gateway, String id) throws IOException {
    List<Integer> events = new ArrayList<>();
    Set<String> versions = new TreeSet<>();
    boolean complete = false;
    try (CallerStandIn caller = new CallerStandIn(gateway, (int) STREAM_MILLIS)) {
      caller.send(
          "POST /chat/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
              + id
              + "\r\nModel: m\r\nToken-Counts: 100,200\r\nPrompt-Prefix: "
              + id.substring(8)
              + ":100\r\nDeadline-Ms: 12000\r\nKey: k1\r\nContent-Length: 0\r\n\r\n",
          new byte[0]);
      HttpHead head = HttpHead.read(caller.in());
      if (head != null && head.status() == 200) {
        complete = readEvents(caller, events, versions);
      }
    } finally {
      streams.add(new Stream(id, events, versions, complete));
    }
  }

  /** Reads events until the stream ends; returns whether it ends as complete. */
  private static boolean readEvents(
      CallerStandIn caller, List<Integer> events, Set<String> versions) throws IOException {
    try {
      while (true) {
        byte[] chunk = HttpHead.readChunk(caller.in());
        if (chunk.length == 0) {
          return true;
        }
        for (String line : new String(chunk, StandardCharsets.ISO_8859_1).split("\n")) {
          if (line.startsWith("id: ")) {
            events.add(Integer.parseInt(line.substring("id: ".length())));
          } else if (line.startsWith("data: ")) {
            versions.add(line.substring("data: ".length()));
          }
        }
      }
    } catch (EOFException e) {
      return false;
    }
  }

  private static String config() {
    return "{\"Version\":1,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"a.example\",\"Prefix\":\"/chat/\","
               + "\"Kind\":\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":400,\"Priority\":1,"
               + "\"Service\":\"llm\",\"MaxAttempts\":2,\"Public\":false,\"StickySessions\":true,"
               + "\"StreamResume\":true,\"GapAimMs\":250}],\"Services\":["
        + Configs.service("llm")
        + "],"
        + Configs.LIMITS
        + ",\"Tenants\":["
        + Configs.tenant("t1", "\"k1\"")
        + "]}";
  }
}
