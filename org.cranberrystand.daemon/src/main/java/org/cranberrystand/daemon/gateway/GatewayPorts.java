package org.cranberrystand.daemon.gateway;

import java.util.function.Function;

/**
 * The interfaces that the adapter of a platform implements for a gateway.
 *
 * @param headers reads and writes the HTTP headers of the platform
 * @param decoder decodes published values
 * @param store creates the client of the store
 * @param runs creates the client that asks upstreams which requests they run
 * @param directory creates the endpoint that serves the addresses for callers
 * @param readiness creates the endpoint for readiness checks
 */
public record GatewayPorts(
    HeaderCodec headers,
    PublishedDecoder decoder,
    PublishedStore.Factory store,
    UpstreamRuns.Factory runs,
    Function<DirectoryView, HttpEndpoint> directory,
    Function<DirectoryView, HttpEndpoint> readiness) {}
