package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallEnding;
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

  /** A request that continues a stream. */
  interface Continued {
    /** Returns the decisions about where the request goes. */
    RequestPlacement placement();

    /** Sends the request to an upstream, unless its content is refused. */
    void sendUnlessQuarantined(RegisteredUpstream upstream, PlacementChoice choice);

    /** Has the dispatcher place the request again, at another upstream if there is one. */
    void resubmit(String excludedUpstream);

    /** Refuses the request as not run, as far as that is true. */
    void refuse(NotRunReason reason, long retryAfterMillis);
  }

  private final EventLoop loop;
  private final UpstreamVerifier verifier;
  private final Map<Long, Integer> rejectedCounts = new HashMap<>();

  ContinuedPlacements(EventLoop loop, UpstreamVerifier verifier) {
    this.loop = loop;
    this.verifier = verifier;
  }

  /** Sends a request to the upstream that the dispatcher chose, or looks for another one. */
  void send(Continued request, RegisteredUpstream upstream, PlacementChoice choice) {
    verifier.verify(
        upstream,
        request
            .placement()
            .ifStillCurrent(
                isRegistered -> {
                  if (isRegistered) {
                    rejectedCounts.remove(request.placement().key());
                    request.sendUnlessQuarantined(upstream, choice);
                  } else {
                    reject(request, upstream);
                  }
                }));
  }

  private void reject(Continued request, RegisteredUpstream upstream) {
    request.placement().attemptEnded(CallEnding.CANCELLED);
    int rejectedCount = rejectedCounts.merge(request.placement().key(), 1, Integer::sum);
    if (rejectedCount > MAX_REJECTED_UPSTREAMS) {
      request.refuse(NotRunReason.NO_UPSTREAM, RETRY_AFTER_MILLIS);
      return;
    }
    Runnable resubmit = request.placement().ifStillCurrent(() -> request.resubmit(upstream.id()));
    loop.schedule(resubmit, PAUSE_MILLIS * rejectedCount, TimeUnit.MILLISECONDS).isDone();
  }

  /** Forgets all requests but the given ones. */
  void retain(Set<Long> keys) {
    rejectedCounts.keySet().retainAll(keys);
  }
}
