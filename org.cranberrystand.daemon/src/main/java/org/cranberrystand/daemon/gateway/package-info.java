/**
 * The gateway: forwards callers' HTTP requests to upstreams by declared routes.
 *
 * <p>The public types are the ports that an adapter of a platform fills: {@link
 * org.cranberrystand.daemon.gateway.HeaderDialect} for headers, {@link
 * org.cranberrystand.daemon.gateway.PublishedStore} and {@link
 * org.cranberrystand.daemon.gateway.PublishedDecoder} for what operators and upstreams publish.
 * Decisions are in the core packages {@code routing}, {@code dispatch}, {@code membership} and
 * {@code upstream}; this package may use those, the codecs and Netty, and no other package of the
 * daemon except the log.
 */
package org.cranberrystand.daemon.gateway;
