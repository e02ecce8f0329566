package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Sends requests that continue a stream only to upstreams whose process is the registered one,
 * because the version of another one is not known. Used only on the event loop.
 */
final class ContinuedPlacements {
  /** With more upstreams that may have been replaced, the request is refused. */
  private static final int MAX_REJECTED_UPSTREAMS = 4;

  private static final long RETRY_AFTER_MILLIS = 300;

  /**
   * The pause after the first rejection; it grows with each further one. Another upstream that has
   * just cut the stream accepts requests again after some hundred milliseconds.
   */
  private static final long PAUSE_MILLIS = 50;

  private static final class Pending {
    private int placementCount;
    private int rejectedCount;
  }

  private final EventLoop loop;
  private final CallDispatcher dispatcher;
  private final UpstreamVerifier verifier;
  private final Map<Long, Pending> pendingByKey = new HashMap<>();

  ContinuedPlacements(EventLoop loop, CallDispatcher dispatcher, UpstreamVerifier verifier) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.verifier = verifier;
  }

  /** Sends a request to the upstream that the dispatcher chose, or looks for another one. */
  void send(
      RequestRelay relay, CallSpec call, RegisteredUpstream upstream, PlacementChoice choice) {
    Pending pending = pendingByKey.computeIfAbsent(call.key(), key -> new Pending());
    int placement = ++pending.placementCount;
    verifier.verify(
        upstream,
        isRegistered -> {
          // The request may have ended, or the dispatcher has placed it elsewhere.
          if (relay.isDone() || pending.placementCount != placement) {
            return;
          }
          if (isRegistered) {
            pendingByKey.remove(call.key());
            if (!relay.refuseIfQuarantined()) {
              relay.send(upstream, choice);
            }
          } else {
            reject(relay, call, upstream, pending);
          }
        });
  }

  private void reject(
      RequestRelay relay, CallSpec call, RegisteredUpstream upstream, Pending pending) {
    dispatcher.ended(call.key(), CallEnding.CANCELLED, System.nanoTime());
    pending.rejectedCount++;
    if (pending.rejectedCount > MAX_REJECTED_UPSTREAMS) {
      relay.refuse(NotRunReason.NO_UPSTREAM, RETRY_AFTER_MILLIS);
      return;
    }
    Runnable placeAgain =
        () -> {
          if (!relay.isDone()) {
            dispatcher.resubmit(call, upstream.id(), System.nanoTime());
          }
        };
    loop.schedule(placeAgain, PAUSE_MILLIS * pending.rejectedCount, TimeUnit.MILLISECONDS).isDone();
  }

  /** Forgets all requests but the given ones. */
  void retain(Set<Long> keys) {
    pendingByKey.keySet().retainAll(keys);
  }
}
