package org.cranberrystand.daemon.gateway;

import java.util.Optional;
import java.util.Set;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Decides whether and through which node one request is forwarded. Used only on the event loop. */
final class RequestForwarding {
  /**
   * A request that cannot be sent to these many upstreams is forwarded, also before this node knows
   * that it reaches none.
   */
  private static final int UNREACHABLE_TO_FORWARD = 2;

  /** Another node may have lost its links too and not know it yet. */
  private static final int MAX_REFUSING_NODES = 2;

  private final RelayContext context;
  private final ForwardedRequest received;
  private final boolean identified;
  private int unreachableCount;
  private int refusalCount;

  RequestForwarding(RelayContext context, CallerExchange exchange, CallerHeaders caller) {
    this.context = context;
    this.received = ForwardedRequest.read(exchange.request().headers());
    this.identified = caller.requestId() != null;
  }

  /** Returns how many upstreams may have run the request before this node received it. */
  int runsBefore() {
    return received.runs();
  }

  /** Returns whether another node forwarded the request although this one cannot serve it. */
  boolean isMisdirected(String pool) {
    return received.isForwarded() && context.dispatcher().isServedByOthersOnly(pool);
  }

  UpstreamClient client() {
    return context.forwarding().client();
  }

  /** Records that an upstream or a node could not be reached. */
  void unreachable() {
    unreachableCount++;
  }

  /** Records that a node refused the request, and returns whether to try another one. */
  boolean refusedByNode() {
    refusalCount++;
    return refusalCount <= MAX_REFUSING_NODES;
  }

  /** Returns the node to forward to; empty if the request is to be served here. */
  Optional<RegisteredUpstream> chooseNode(String pool, Set<String> triedTargets) {
    return unreachableCount >= UNREACHABLE_TO_FORWARD
            || context.dispatcher().isServedByOthersOnly(pool)
        ? choose(pool, triedTargets)
        : Optional.empty();
  }

  /** Returns the node to forward to instead of refusing the request for want of a slot. */
  Optional<RegisteredUpstream> chooseNodeWithSlots(String pool, Set<String> triedTargets) {
    return context.dispatcher().isDivided(pool) ? choose(pool, triedTargets) : Optional.empty();
  }

  private Optional<RegisteredUpstream> choose(String pool, Set<String> triedTargets) {
    return identified && !received.isForwarded() && refusalCount <= MAX_REFUSING_NODES
        ? context.forwarding().choose(pool, triedTargets)
        : Optional.empty();
  }
}
