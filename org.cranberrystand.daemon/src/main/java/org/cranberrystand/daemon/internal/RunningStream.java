package org.cranberrystand.daemon.internal;

/**
 * The stream of an engine that carries the answer of a running request.
 *
 * @param address host and port of the engine
 * @param streamId the identifier of the stream at the engine; null if unknown
 * @param relay relays the events to the caller
 */
record RunningStream(String address, String streamId, StreamRelay relay) {}
