package review3;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration allows longer heads of requests; clients use it on kept connections. */
final class RaisedLimitCase implements Case {
  private static final int LIMIT_BYTES = 16_384;
  private static final int RAISED_LIMIT_BYTES = 32_768;

  /** Above the earlier limit and below the raised one. */
  private static final int LONG_VALUE_CHARS = 20_000;

  private static final int CALLERS = 40;
  private static final long PAUSE_MILLIS = 250;
  private static final long BEFORE_MILLIS = 4_000;

  /** {@code ConfigDeadlineMs} of the sheet, and again as much. */
  private static final long IN_FORCE_MILLIS = 4_000;

  private static final long AFTER_MILLIS = 8_000;

  /** The rule allows this many, and one in 500 of all requests. */
  private static final int MAX_DENIED = 5;

  private static final int REQUESTS_PER_DENIED = 500;

  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger denied = new AtomicInteger();
  private final AtomicInteger ran = new AtomicInteger();
  private volatile boolean longHeads;
  private volatile boolean stopped;

  @Override
  public boolean holds(Lab lab) throws IOException {
    lab.store().put("op/config", config(1, Lab.isUndisturbed() ? RAISED_LIMIT_BYTES : LIMIT_BYTES));
    for (int i = 1; i <= 3; i++) {
      lab.runner(
          "i-" + i,
          "svc",
          6,
          (runner, request, body, connection) -> {
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
    lab.store().put("op/config", config(2, RAISED_LIMIT_BYTES));
    lab.log(
        "version 2 acknowledged, MaxHeaderBytes="
            + RAISED_LIMIT_BYTES
            + "; sent="
            + sent
            + " ran="
            + ran
            + " denied="
            + denied);
    Threads.sleep(IN_FORCE_MILLIS);
    longHeads = true;
    lab.log("clients send heads of " + LONG_VALUE_CHARS + " bytes and more");
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
    String note = longHeads ? "X-Order-Lines: " + "a".repeat(LONG_VALUE_CHARS) + "\r\n" : "";
    caller.send(
        "POST /orders/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
            + id
            + "\r\nDeadline-Ms: 3000\r\nKey: k1\r\n"
            + note
            + "Content-Length: 0\r\n\r\n",
        new byte[0]);
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

  private static String config(int version, int maxHeaderBytes) {
    return "{\"Version\":"
        + version
        + ",\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"a.example\",\"Prefix\":\"/orders/\","
        + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":2,"
        + "\"Service\":\"svc\",\"MaxAttempts\":1,\"Public\":false,\"StickySessions\":false,"
        + "\"StreamResume\":false}],\"Services\":["
        + Configs.service("svc")
        + "],\"Limits\":{\"MaxHeaderBytes\":"
        + maxHeaderBytes
        + ",\"MaxBodyBytes\":4194304,"
        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":["
        + Configs.tenant("t1", "\"k1\"")
        + "]}";
  }
}
