/**
 * The gateway: forwards callers' HTTP requests to upstreams by declared routes.
 *
 * <p>The public interfaces are implemented by the adapter of a platform: {@link
 * org.cranberrystand.daemon.gateway.HeaderCodec} for HTTP headers, {@link
 * org.cranberrystand.daemon.gateway.PublishedStore} and {@link
 * org.cranberrystand.daemon.gateway.PublishedDecoder} for the values that operators and upstreams
 * publish. Decisions are made in the core packages {@code routing}, {@code dispatch}, {@code
 * membership} and {@code upstream}. This package may depend on those, the codecs and Netty, and on
 * no other package of the daemon except the log.
 */
package org.cranberrystand.daemon.gateway;
