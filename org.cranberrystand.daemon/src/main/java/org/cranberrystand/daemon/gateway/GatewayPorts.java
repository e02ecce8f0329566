package org.cranberrystand.daemon.gateway;

import com.google.common.net.HostAndPort;
import java.util.function.BiFunction;
import java.util.function.Function;
import ratpack.func.Action;
import ratpack.handling.Chain;

/**
 * What an adapter of a platform provides to a gateway.
 *
 * @param headers reads and writes headers
 * @param decoder decodes published values
 * @param store opens the service that publishes
 * @param directory the handlers for callers that ask where to connect
 * @param readiness the handlers for checks whether the node is ready
 */
public record GatewayPorts(
    HeaderDialect headers,
    PublishedDecoder decoder,
    BiFunction<HttpFetch, HostAndPort, PublishedStore> store,
    Function<DirectoryView, Action<Chain>> directory,
    Function<DirectoryView, Action<Chain>> readiness) {}
