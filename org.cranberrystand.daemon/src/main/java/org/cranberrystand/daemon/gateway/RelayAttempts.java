package org.cranberrystand.daemon.gateway;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Sends the attempts of one request and counts them. Used only on the event loop. */
final class RelayAttempts {
  private final RelayContext context;
  private final CallerExchange exchange;
  private final String requestId;
  private final OutgoingRequests outgoing;
  private final EmbeddedResponse embeddedResponse;
  private final boolean streaming;
  private final long deadlineNanos;
  private final Set<String> triedUpstreams = new HashSet<>();
  private Runnable deadlinePassed = () -> {};
  private RelayAttempt current;
  private int runCount;

  /** Whether the current attempt, or one that may have run, is at another node. */
  private boolean atNode;

  /**
   * Creates the attempts of a request that this node has not sent.
   *
   * @param context the components that all requests share
   * @param exchange the exchange with the caller
   * @param caller the headers of the caller
   * @param route the route of the request
   * @param team the team of the caller
   * @param spec the request
   */
  RelayAttempts(
      RelayContext context,
      CallerExchange exchange,
      CallerHeaders caller,
      Route route,
      Optional<TeamPolicy> team,
      CallSpec spec) {
    this.context = context;
    this.exchange = exchange;
    this.requestId = caller.requestId();
    this.outgoing = new OutgoingRequests(context.headerCodec(), exchange, caller, team);
    this.embeddedResponse = new EmbeddedResponse(context.headerCodec());
    this.streaming = route.kind().isStreaming();
    this.deadlineNanos = spec.deadlineNanos();
    this.runCount = ForwardedRequest.read(exchange.request().headers()).runs();
  }

  /** Sets what to do if the deadline passes before the current attempt is sent. */
  void setDeadlinePassedAction(Runnable action) {
    deadlinePassed = action;
  }

  /** Returns the last attempt, or the hedge that replaced it; null before the first one. */
  RelayAttempt current() {
    return current;
  }

  /** Returns whether the current attempt has not ended. */
  boolean isInProgress() {
    return current != null && current.isInProgress();
  }

  /** Returns how many upstreams may have run the request. */
  int runCount() {
    return runCount;
  }

  /** Records that an attempt certainly did not run. */
  void notRun() {
    runCount--;
  }

  /** Returns whether the current attempt, or one that may have run, is at another node. */
  boolean isAtNode() {
    return atNode;
  }

  /** Records that another node certainly did not run the request. */
  void leaveNode() {
    atNode = false;
  }

  /**
   * Returns whether a refusal before the request ran tells that the caller has to change it. An
   * upstream that cannot read a request with an identifier did not receive it as it was sent.
   */
  boolean isFaultOfCaller(HttpResponseStatus refusal) {
    return requestId == null && refusal.equals(HttpResponseStatus.BAD_REQUEST);
  }

  Set<String> triedUpstreams() {
    return triedUpstreams;
  }

  /** Sends the request to another node, to resume its stream after an event unless null. */
  void sendToNode(
      RegisteredUpstream node,
      UpstreamClient client,
      String lastEventId,
      ResponseAssembler.Receiver receiver) {
    atNode = true;
    HttpRequest request = outgoing.toNode(remainingMillis(), runCount);
    ResponseAssembler response = newResponse(node, lastEventId, receiver);
    current = begin(new RelayAttempt(node, null, response), client, request);
  }

  /** Sends the request to an upstream, to resume its stream after an event unless null. */
  void sendToUpstream(
      RegisteredUpstream upstream,
      PlacementChoice choice,
      String lastEventId,
      ResponseAssembler.Receiver receiver) {
    atNode = false;
    HttpRequest request = outgoing.toUpstream(upstream, remainingMillis(), lastEventId);
    ResponseAssembler response = newResponse(upstream, lastEventId, receiver);
    current = begin(new RelayAttempt(upstream, choice, response), request);
  }

  /** Sends the request to another upstream too; the current attempt stays. */
  RelayAttempt sendHedge(
      RegisteredUpstream upstream, PlacementChoice choice, ResponseAssembler.Receiver receiver) {
    HttpRequest request = outgoing.toUpstream(upstream, remainingMillis(), null);
    ResponseAssembler response = newResponse(upstream, null, receiver);
    return begin(new RelayAttempt(upstream, choice, response), request);
  }

  /** Cancels the current attempt if it is in progress. */
  void cancelCurrent(CallEnding ending) {
    if (isInProgress()) {
      current.cancel();
      if (!ending.isUpstreamReachable()) {
        context.client().closeIdle(current.upstream().id());
      }
    }
  }

  /** Makes the hedge the current attempt; the other one must have ended. */
  void replaceCurrent(RelayAttempt hedge) {
    releaseResponse();
    current = hedge;
  }

  /** Releases what is buffered of the response to the current attempt. */
  void releaseResponse() {
    if (current != null) {
      current.response().release();
    }
  }

  private ResponseAssembler newResponse(
      RegisteredUpstream target, String lastEventId, ResponseAssembler.Receiver receiver) {
    String name = "request=" + LoggedText.of(requestId) + " upstream=" + target.id();
    return new ResponseAssembler(
        name, receiver, streaming, lastEventId, embeddedResponse, context.memory());
  }

  private RelayAttempt begin(RelayAttempt attempt, HttpRequest request) {
    return begin(attempt, context.client(), request);
  }

  private RelayAttempt begin(RelayAttempt attempt, UpstreamClient client, HttpRequest request) {
    runCount++;
    RegisteredUpstream target = attempt.upstream();
    attempt.sent(
        client.send(
            target,
            request,
            exchange.body().retainedDuplicate(),
            requestId,
            !triedUpstreams.add(target.id()),
            new SendDeadline(deadlineNanos, () -> notSent(attempt)),
            attempt.response()));
    return attempt;
  }

  private void notSent(RelayAttempt attempt) {
    // A hedge ends with its request, which is over as well.
    if (attempt == current) {
      attempt.ended();
      notRun();
      deadlinePassed.run();
    }
  }

  private long remainingMillis() {
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
  }
}
