package org.cranberrystand.daemon.internal;

/**
 * Stream at an engine that carries the answer to a running request.
 *
 * @param address host and port of the engine
 * @param streamId the stream; null if the engine gave none
 * @param relay relays the events
 */
record RunningStream(String address, String streamId, StreamRelay relay) {}
