package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.AddressList;

/**
 * Addresses and identifiers of a fleet, as a caller gets them.
 *
 * <p>The address list is kept for the lifetime that it states. Identifiers are used once and before
 * they are older than {@link #MAX_IDENTIFIER_AGE}. Safe for use by several threads.
 */
final class FleetDirectory {
  /** Identifiers older than this are not used; nodes accept them for 600 s unless set otherwise. */
  private static final Duration MAX_IDENTIFIER_AGE = Duration.ofSeconds(60);

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private record Cached(ImmutableList<AddressList.Address> nodes, long expiresNanos) {
    ImmutableList<String> addresses() {
      return nodes.stream()
          .map(AddressList.Address::address)
          .collect(ImmutableList.toImmutableList());
    }
  }

  private record Identifier(String text, long issuedNanos) {}

  private final ImmutableList<HostAndPort> seeds;
  private final HttpClient http;
  private final MonotonicClock clock;
  private final AtomicReference<Cached> cached =
      new AtomicReference<>(new Cached(ImmutableList.of(), 0));
  private final AtomicReference<CompletableFuture<ImmutableList<String>>> refresh =
      new AtomicReference<>();
  private final Queue<Identifier> identifiers = new ConcurrentLinkedQueue<>();
  private final AtomicInteger turn = new AtomicInteger();
  private final AtomicLong calls = new AtomicLong();

  FleetDirectory(List<HostAndPort> seeds, HttpClient http, MonotonicClock clock) {
    this.seeds = ImmutableList.copyOf(seeds);
    this.http = http;
    this.clock = clock;
  }

  /**
   * Returns the address for the next attempt; successive calls go through the list.
   *
   * @return host and port
   */
  CompletableFuture<String> nextAddress() {
    Cached current = cached.get();
    if (clock.nowNanos() < current.expiresNanos()) {
      return CompletableFuture.completedFuture(pick(current.addresses()));
    }
    return refreshed().thenApply(this::pick);
  }

  /**
   * Returns the address of the node that issued an identifier, which spares a forward.
   *
   * @param identifier the identifier; its first part is the name of the node
   * @return host and port; those of another node if the list does not name the issuer
   */
  CompletableFuture<String> issuerAddress(String identifier) {
    String node = nodeOf(identifier);
    for (AddressList.Address address : cached.get().nodes()) {
      if (address.node().equals(node)) {
        return CompletableFuture.completedFuture(address.address());
      }
    }
    return nextAddress();
  }

  /**
   * Drops the unused identifiers of a node that cannot be reached.
   *
   * @param identifier an identifier of the node
   */
  void forgetIssuer(String identifier) {
    String node = nodeOf(identifier);
    identifiers.removeIf(unused -> nodeOf(unused.text()).equals(node));
    forgetAddresses();
  }

  private static String nodeOf(String identifier) {
    return identifier.substring(0, Math.max(0, identifier.indexOf('.')));
  }

  /**
   * Returns an identifier that was not used before.
   *
   * @return the identifier
   */
  CompletableFuture<String> nextIdentifier() {
    Identifier identifier = identifiers.poll();
    while (identifier != null
        && clock.nowNanos() - identifier.issuedNanos() > MAX_IDENTIFIER_AGE.toNanos()) {
      identifier = identifiers.poll();
    }
    if (identifier != null) {
      return CompletableFuture.completedFuture(identifier.text());
    }
    // Another caller may take all new identifiers first; then this one asks once more.
    return refreshed().thenCompose(ignored -> nextIdentifier());
  }

  /**
   * Returns how often addresses were asked for.
   *
   * @return the number of calls
   */
  long callCount() {
    return calls.get();
  }

  /** Drops the list, so that the next attempt asks again, as after a failed connection. */
  void forgetAddresses() {
    cached.updateAndGet(c -> new Cached(c.nodes(), 0));
  }

  private String pick(ImmutableList<String> addresses) {
    return addresses.get(Math.floorMod(turn.getAndIncrement(), addresses.size()));
  }

  /** Joins a call in progress, so that a burst of requests makes one call. */
  @SuppressWarnings("FutureReturnValueIgnored") // The callback passes every failure on.
  private CompletableFuture<ImmutableList<String>> refreshed() {
    CompletableFuture<ImmutableList<String>> mine = new CompletableFuture<>();
    CompletableFuture<ImmutableList<String>> running = refresh.compareAndExchange(null, mine);
    if (running != null) {
      return running;
    }
    ask(0)
        .whenComplete(
            (addresses, failure) -> {
              refresh.set(null);
              if (failure == null) {
                mine.complete(addresses);
              } else {
                mine.completeExceptionally(failure);
              }
            });
    return mine;
  }

  private CompletableFuture<ImmutableList<String>> ask(int attempt) {
    ImmutableList<String> known = cached.get().addresses();
    String address =
        attempt < seeds.size()
            ? seeds.get((turn.get() + attempt) % seeds.size()).toString()
            : known.get(attempt - seeds.size());
    calls.incrementAndGet();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/addresses"))
            .timeout(TIMEOUT)
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .thenApply(response -> accept(address, response))
        .exceptionallyCompose(
            failure ->
                attempt + 1 < seeds.size() + known.size()
                    ? ask(attempt + 1)
                    : CompletableFuture.failedFuture(failure));
  }

  private ImmutableList<String> accept(String asked, HttpResponse<byte[]> response) {
    if (response.statusCode() != 200) {
      throw new IllegalStateException("status " + response.statusCode() + " from " + asked);
    }
    try {
      AddressList list = Json.read(response.body(), AddressList.class);
      long now = clock.nowNanos();
      ImmutableList<AddressList.Address> nodes = ImmutableList.copyOf(list.addresses());
      if (nodes.isEmpty()) {
        nodes = ImmutableList.of(new AddressList.Address(asked, "", ""));
      }
      list.identifiers().forEach(text -> identifiers.add(new Identifier(text, now)));
      Cached fresh = new Cached(nodes, now + list.ttlSeconds() * NANOS_PER_SECOND);
      cached.set(fresh);
      return fresh.addresses();
    } catch (IOException e) {
      throw new IllegalStateException("no address list from " + asked, e);
    }
  }
}
