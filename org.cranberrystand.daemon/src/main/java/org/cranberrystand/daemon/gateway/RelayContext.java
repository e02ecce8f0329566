package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.CrashRegister;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.dispatch.RetryAllowance;
import org.cranberrystand.routing.RoutingTable;

/**
 * What all requests of a gateway share.
 *
 * @param loop the event loop on which all of it is used
 * @param dialect reads and writes headers
 * @param client sends to upstreams
 * @param dispatcher decides when and where requests are sent
 * @param quotas what teams have used
 * @param retries limits repeats
 * @param crashes requests that crash upstreams
 * @param routing the declaration in force; gives null before the first one
 * @param leaving tells whether new requests are refused because the node leaves
 * @param lag how long what is read now may have waited
 * @param log receives decisions
 * @param metrics counts outcomes
 */
record RelayContext(
    EventLoop loop,
    HeaderDialect dialect,
    UpstreamClient client,
    CallDispatcher dispatcher,
    QuotaLedger quotas,
    RetryAllowance retries,
    CrashRegister crashes,
    Supplier<RoutingTable> routing,
    Supplier<Boolean> leaving,
    LoopLag lag,
    EventLog log,
    GatewayMetrics metrics) {}
