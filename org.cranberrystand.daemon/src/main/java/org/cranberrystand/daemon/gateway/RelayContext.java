package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.dispatch.RetryAllowance;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.RoutingTable;

/**
 * The components that all requests of a gateway share.
 *
 * @param loop the event loop on which all components are used
 * @param headerCodec reads and writes headers
 * @param client sends requests to upstreams
 * @param dispatcher decides when and to which upstream requests are sent
 * @param quotas tracks the quota usage of teams
 * @param retries limits retries
 * @param hedging decides on second attempts of slow requests
 * @param memory limits the memory that incomplete responses take
 * @param crashes knows which content crashes upstreams
 * @param signals applies what upstreams say of themselves in responses
 * @param forwarding sends requests through nodes that reach a pool which this one does not
 * @param streams knows at which software version streams began
 * @param versions finds out at which software version a stream began that no node knows
 * @param verifier finds out whether upstreams are the processes that registered
 * @param routing supplies the current declaration; null before the first one
 * @param shutdown the shutdown of the gateway
 * @param lag measures the lag of the event loop
 * @param log the event log
 * @param metrics the metrics of the gateway
 */
record RelayContext(
    EventLoop loop,
    HeaderCodec headerCodec,
    UpstreamClient client,
    CallDispatcher dispatcher,
    QuotaLedger quotas,
    RetryAllowance<String> retries,
    Hedging hedging,
    ResponseMemory memory,
    CrashDetector crashes,
    UpstreamSignals signals,
    PeerForwarding forwarding,
    StreamLookup streams,
    StreamVersions versions,
    UpstreamVerifier verifier,
    Supplier<RoutingTable> routing,
    GatewayShutdown shutdown,
    LoopLag lag,
    EventLog log,
    GatewayMetrics metrics) {

  /** Records that a request ended, and when it arrived and had its first response. */
  void requestEnded(Route route, String outcome, long arrivalNanos, long firstResponseNanos) {
    long now = System.nanoTime();
    if (outcome.equals(RequestRelay.ANSWERED)) {
      shutdown.answered(route, now - arrivalNanos);
    }
    metrics.recordEnded(route, outcome, arrivalNanos, firstResponseNanos, now);
  }
}
