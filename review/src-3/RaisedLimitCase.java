package review3;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration raises a limit for requests; clients on kept connections go on sending. */
final class RaisedLimitCase implements Case {
  private static final Limits EARLIER = new Limits(16_384, 4_194_304);

  /**
   * The limits of a configuration.
   *
   * @param maxHeaderBytes limit for the head of a request
   * @param maxBodyBytes limit for the body of a request
   */
  private record Limits(int maxHeaderBytes, long maxBodyBytes) {}

  private static final int CALLERS = 40;
  private static final long PAUSE_MILLIS = 250;
  private static final long BEFORE_MILLIS = 4_000;

  /** {@code ConfigDeadlineMs} of the sheet, and again as much. */
  private static final long IN_FORCE_MILLIS = 4_000;

  private static final long AFTER_MILLIS = 8_000;

  /** The rule allows this many, and one in 500 of all requests. */
  private static final int MAX_DENIED = 5;

  private static final int REQUESTS_PER_DENIED = 500;

  private final Limits raised;
  private final Limits undisturbed;
  private final int longValueChars;
  private final byte[] body;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger denied = new AtomicInteger();
  private final AtomicInteger ran = new AtomicInteger();
  private volatile boolean longHeads;
  private volatile boolean stopped;

  private RaisedLimitCase(Limits raised, Limits undisturbed, int longValueChars, int bodyBytes) {
    this.raised = raised;
    this.undisturbed = undisturbed;
    this.longValueChars = longValueChars;
    this.body = new byte[bodyBytes];
  }

  /** The limit for heads is doubled, and clients then send heads of some 20 kB. */
  static RaisedLimitCase ofHeads() {
    Limits raised = new Limits(32_768, EARLIER.maxBodyBytes());
    return new RaisedLimitCase(raised, raised, 20_000, 0);
  }

  /** The limit for bodies becomes 2 GiB; the requests of the clients stay as they are. */
  static RaisedLimitCase ofBodies() {
    Limits raised = new Limits(EARLIER.maxHeaderBytes(), 1L << 31);
    return new RaisedLimitCase(raised, EARLIER, 0, 600);
  }

  @Override
  public boolean holds(Lab lab) throws IOException {
    lab.store().put("op/config", config(1, Lab.isUndisturbed() ? undisturbed : EARLIER));
    for (int i = 1; i <= 3; i++) {
      lab.runner(
          "i-" + i,
          "svc",
          6,
          (runner, request, received, connection) -> {
            ran.incrementAndGet();
            RunnerStandIn.respond(connection, 200, runner.answerHeaders(request), new byte[800]);
            return true;
          });
    }
    GatewayProcess gateway = lab.gateway();
    gateway.start();
    gateway.awaitReady();
    for (int i = 0; i < CALLERS; i++) {
      Threads.start("caller", () -> call(lab, gateway));
    }
    Threads.sleep(BEFORE_MILLIS);
    Limits changed = Lab.isUndisturbed() ? undisturbed : raised;
    lab.store().put("op/config", config(2, changed));
    lab.log(
        "version 2 acknowledged, "
            + changed
            + "; sent="
            + sent
            + " ran="
            + ran
            + " denied="
            + denied);
    Threads.sleep(IN_FORCE_MILLIS);
    longHeads = longValueChars > 0;
    lab.log(
        "clients send heads of " + longValueChars + " bytes and more, bodies of " + body.length);
    Threads.sleep(AFTER_MILLIS);
    stopped = true;
    Threads.sleep(1_000);
    int allowed = MAX_DENIED + sent.get() / REQUESTS_PER_DENIED;
    lab.log("sent=" + sent + " ran=" + ran + " denied=" + denied + " allowed=" + allowed);
    return denied.get() <= allowed;
  }

  private void call(Lab lab, GatewayProcess gateway) {
    while (!stopped) {
      try (CallerStandIn caller = new CallerStandIn(gateway, 4_000)) {
        boolean open = true;
        for (int count = 0; open && !stopped; count++) {
          open = send(lab, caller, count);
          Threads.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        lab.log("connection failed: " + e);
      }
    }
  }

  private boolean send(Lab lab, CallerStandIn caller, int earlier) throws IOException {
    String id = String.format(Locale.ROOT, "%016x", sent.incrementAndGet());
    String note = longHeads ? "X-Order-Lines: " + "a".repeat(longValueChars) + "\r\n" : "";
    caller.send(
        "POST /orders/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
            + id
            + "\r\nDeadline-Ms: 3000\r\nKey: k1\r\n"
            + note
            + "Content-Length: "
            + body.length
            + "\r\n\r\n",
        body);
    CallerStandIn.Answer answer = caller.receive();
    int status = answer.status();
    if (status != 200) {
      lab.log("request " + id + " after " + earlier + " others on its connection: " + status);
    }
    if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) {
      denied.incrementAndGet();
    }
    return status != 0 && !answer.closes();
  }

  private static String config(int version, Limits limits) {
    return "{\"Version\":"
        + version
        + ",\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"a.example\",\"Prefix\":\"/orders/\","
        + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":2,"
        + "\"Service\":\"svc\",\"MaxAttempts\":1,\"Public\":false,\"StickySessions\":false,"
        + "\"StreamResume\":false}],\"Services\":["
        + Configs.service("svc")
        + "],\"Limits\":{\"MaxHeaderBytes\":"
        + limits.maxHeaderBytes()
        + ",\"MaxBodyBytes\":"
        + limits.maxBodyBytes()
        + ","
        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":["
        + Configs.tenant("t1", "\"k1\"")
        + "]}";
  }
}
