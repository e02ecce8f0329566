import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * All open connections to the store go silent, and the operator takes a key away a moment later.
 * Counts the requests with that key that run although the machine is in touch again and the bound
 * of configuration is over.
 */
final class StaleKeyCase {
  private static final int GATEWAYS = 3;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long CONFIG_DEADLINE_MILLIS = 2_000;
  private static final long MARGIN_MILLIS = 50;

  private StaleKeyCase() {}

  public static void main(String[] args) throws Exception {
    Setup.main(args, StaleKeyCase::run);
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    List<GatewayProcess> gateways = new ArrayList<>();
    List<StoreProxy> proxies = new ArrayList<>();
    List<RunnerStandIn> runners = new ArrayList<>();
    try (StoreStandIn store = new StoreStandIn()) {
      List<String> routes = List.of(Setup.route("/pedido/", "non_idempotent", "balcao-app", 1));
      List<String> services = List.of("balcao-app");
      store.put(
          "op/config",
          Setup.configuration(
              10,
              routes,
              services,
              List.of(Setup.tenant("estrela", "k1"), Setup.tenant("lajeado", "k2"))));
      for (int i = 0; i < 2; i++) {
        runners.add(
            new RunnerStandIn(
                "i-" + i, "balcao-app", "zone-a", 6, store, record, RunnerStandIn.plainWork(60)));
      }
      List<String> ips = Setup.freeIps(GATEWAYS);
      for (int i = 0; i < GATEWAYS; i++) {
        proxies.add(new StoreProxy(store.address()));
        gateways.add(new GatewayProcess(Setup.root(), folder, i, ips, proxies.get(i).address()));
        gateways.get(i).start();
      }
      for (GatewayProcess gateway : gateways) {
        gateway.awaitReady(15_000);
      }
      Threads.sleep(6_000);
      // The pages name no moment for the silence; here it comes while each gateway has a watch.
      while (store.waitingWatches() < GATEWAYS) {
        Threads.sleep(1);
      }
      long silenceNanos = System.nanoTime();
      if (trouble) {
        for (StoreProxy proxy : proxies) {
          record.say("silenced connections to the store: " + proxy.silenceOpenConnections());
        }
      }
      Threads.sleepUntil(silenceNanos + 800_000_000L);
      long ackNanos =
          store.put(
              "op/config",
              Setup.configuration(17, routes, services, List.of(Setup.tenant("estrela", "k1"))));
      record.say("operator: key k2 taken away, acknowledged");
      long boundNanos =
          Math.max(
              ackNanos + (CONFIG_DEADLINE_MILLIS + MARGIN_MILLIS) * 1_000_000,
              trouble ? silenceNanos + (CONTACT_MILLIS + MARGIN_MILLIS) * 1_000_000 : 0);
      Caller caller = new Caller(record);
      List<Caller.Answer> answers = Collections.synchronizedList(new ArrayList<>());
      List<Thread> threads = new ArrayList<>();
      long endNanos = silenceNanos + 8_000_000_000L;
      for (GatewayProcess gateway : gateways) {
        Thread thread =
            new Thread(
                () -> {
                  for (int i = 0; System.nanoTime() < endNanos; i++) {
                    answers.add(
                        caller.send(
                            gateway, "POST", "/pedido/2f", gateway.name + "-" + i, "k2", "order"));
                    Threads.sleep(20);
                  }
                });
        thread.start();
        threads.add(thread);
      }
      for (Thread thread : threads) {
        thread.join();
      }
      List<Caller.Answer> stale =
          answers.stream().filter(a -> a.sentNanos() > boundNanos && a.status() == 200).toList();
      record.say(
          "requests with the key: "
              + answers.size()
              + ", sent after the bound: "
              + answers.stream().filter(a -> a.sentNanos() > boundNanos).count()
              + ", of these run: "
              + stale.size());
      for (Caller.Answer answer : stale) {
        record.line(
            "BROKEN: "
                + answer.attempt()
                + " ran, sent "
                + (answer.sentNanos() - ackNanos) / 1_000_000
                + " ms after the acknowledgement and "
                + (answer.sentNanos() - silenceNanos) / 1_000_000
                + " ms after the silence");
      }
      return stale.isEmpty();
    } finally {
      gateways.forEach(GatewayProcess::close);
      proxies.forEach(StoreProxy::close);
      runners.forEach(RunnerStandIn::close);
    }
  }
}
