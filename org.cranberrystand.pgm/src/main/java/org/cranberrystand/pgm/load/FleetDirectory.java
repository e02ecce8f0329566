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
 * Client-side cache of the node addresses and request identifiers that a fleet hands out.
 *
 * <p>The address list is cached for its TTL. Identifiers are used once, and only up to the age of
 * {@link #MAX_IDENTIFIER_AGE}. Safe for use by several threads.
 */
final class FleetDirectory {
  /** Well below the default of 600 s for which nodes accept an identifier. */
  private static final Duration MAX_IDENTIFIER_AGE = Duration.ofSeconds(60);

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private record CachedAddresses(ImmutableList<AddressList.Address> nodes, long expiresNanos) {
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
  private final AtomicReference<CachedAddresses> cachedAddresses =
      new AtomicReference<>(new CachedAddresses(ImmutableList.of(), 0));
  private final AtomicReference<CompletableFuture<ImmutableList<String>>> pendingRefresh =
      new AtomicReference<>();
  private final Queue<Identifier> unusedIdentifiers = new ConcurrentLinkedQueue<>();
  private final AtomicInteger nextIndex = new AtomicInteger();
  private final AtomicLong addressCalls = new AtomicLong();

  FleetDirectory(List<HostAndPort> seeds, HttpClient http, MonotonicClock clock) {
    this.seeds = ImmutableList.copyOf(seeds);
    this.http = http;
    this.clock = clock;
  }

  /**
   * Returns the address for the next attempt; successive calls rotate through the list.
   *
   * @return host and port
   */
  CompletableFuture<String> nextAddress() {
    CachedAddresses current = cachedAddresses.get();
    if (clock.nowNanos() < current.expiresNanos()) {
      return CompletableFuture.completedFuture(selectNext(current.addresses()));
    }
    return refresh().thenApply(this::selectNext);
  }

  /**
   * Returns the address of the node that issued an identifier, so that the request need not be
   * forwarded.
   *
   * @param identifier the identifier; its first part is the name of the node
   * @return host and port; of another node if the issuer is not in the list
   */
  CompletableFuture<String> issuerAddress(String identifier) {
    String node = issuerOf(identifier);
    for (AddressList.Address address : cachedAddresses.get().nodes()) {
      if (address.node().equals(node)) {
        return CompletableFuture.completedFuture(address.address());
      }
    }
    return nextAddress();
  }

  /**
   * Discards the unused identifiers of an unreachable node and invalidates the address list.
   *
   * @param identifier any identifier issued by the node
   */
  void invalidateIssuer(String identifier) {
    String node = issuerOf(identifier);
    unusedIdentifiers.removeIf(unused -> issuerOf(unused.text()).equals(node));
    invalidateAddresses();
  }

  private static String issuerOf(String identifier) {
    return identifier.substring(0, Math.max(0, identifier.indexOf('.')));
  }

  /**
   * Returns an unused request identifier.
   *
   * @return the identifier
   */
  CompletableFuture<String> nextIdentifier() {
    Identifier identifier = unusedIdentifiers.poll();
    while (identifier != null
        && clock.nowNanos() - identifier.issuedNanos() > MAX_IDENTIFIER_AGE.toNanos()) {
      identifier = unusedIdentifiers.poll();
    }
    if (identifier != null) {
      return CompletableFuture.completedFuture(identifier.text());
    }
    // Concurrent callers may take all new identifiers; then this call refreshes again.
    return refresh().thenCompose(ignored -> nextIdentifier());
  }

  /**
   * Returns how often an address list was requested.
   *
   * @return the number of requests, including failed ones
   */
  long addressCallCount() {
    return addressCalls.get();
  }

  /** Invalidates the address list, so that the next attempt requests a new one. */
  void invalidateAddresses() {
    cachedAddresses.updateAndGet(c -> new CachedAddresses(c.nodes(), 0));
  }

  private String selectNext(ImmutableList<String> addresses) {
    return addresses.get(Math.floorMod(nextIndex.getAndIncrement(), addresses.size()));
  }

  /** Requests a new address list. Concurrent requests share one call. */
  @SuppressWarnings("FutureReturnValueIgnored") // The callback propagates every failure.
  private CompletableFuture<ImmutableList<String>> refresh() {
    CompletableFuture<ImmutableList<String>> result = new CompletableFuture<>();
    CompletableFuture<ImmutableList<String>> pending =
        pendingRefresh.compareAndExchange(null, result);
    if (pending != null) {
      return pending;
    }
    requestAddresses(0)
        .whenComplete(
            (addresses, failure) -> {
              pendingRefresh.set(null);
              if (failure == null) {
                result.complete(addresses);
              } else {
                result.completeExceptionally(failure);
              }
            });
    return result;
  }

  private CompletableFuture<ImmutableList<String>> requestAddresses(int attempt) {
    ImmutableList<String> cachedList = cachedAddresses.get().addresses();
    String address =
        attempt < seeds.size()
            ? seeds.get((nextIndex.get() + attempt) % seeds.size()).toString()
            : cachedList.get(attempt - seeds.size());
    addressCalls.incrementAndGet();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/addresses"))
            .timeout(REQUEST_TIMEOUT)
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .thenApply(response -> handleResponse(address, response))
        .exceptionallyCompose(
            failure ->
                attempt + 1 < seeds.size() + cachedList.size()
                    ? requestAddresses(attempt + 1)
                    : CompletableFuture.failedFuture(failure));
  }

  private ImmutableList<String> handleResponse(
      String sourceAddress, HttpResponse<byte[]> response) {
    if (response.statusCode() != 200) {
      throw new IllegalStateException("status " + response.statusCode() + " from " + sourceAddress);
    }
    try {
      AddressList list = Json.read(response.body(), AddressList.class);
      long now = clock.nowNanos();
      ImmutableList<AddressList.Address> nodes = ImmutableList.copyOf(list.addresses());
      if (nodes.isEmpty()) {
        nodes = ImmutableList.of(new AddressList.Address(sourceAddress, "", ""));
      }
      list.identifiers().forEach(text -> unusedIdentifiers.add(new Identifier(text, now)));
      CachedAddresses refreshed =
          new CachedAddresses(nodes, now + list.ttlSeconds() * NANOS_PER_SECOND);
      cachedAddresses.set(refreshed);
      return refreshed.addresses();
    } catch (IOException e) {
      throw new IllegalStateException("invalid address list from " + sourceAddress, e);
    }
  }
}
