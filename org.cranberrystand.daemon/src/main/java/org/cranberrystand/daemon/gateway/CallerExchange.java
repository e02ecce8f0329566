package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** A caller's request and the means to respond to it. Used only on the event loop. */
interface CallerExchange {

  /** Receives events of the caller's connection while its request is in progress. */
  interface Listener {
    /** The caller closed the connection. */
    void callerDisconnected();

    /**
     * The send buffer of the connection fell below its low-water mark or exceeded its high-water
     * mark.
     */
    void writabilityChanged(boolean writable);
  }

  /** Returns the request line and headers; null if they are malformed. */
  HttpRequest request();

  /** Returns the complete request body; owned by the exchange. */
  ByteBuf body();

  void setListener(Listener listener);

  /** Sends a complete response and releases its body. */
  void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Starts a response of unknown length. */
  void startResponse(HttpResponseStatus status, HttpHeaders headers);

  /** Sends a part of the response body and releases the buffer. */
  void sendPart(ByteBuf part);

  /** Ends a response that was started. */
  void finishResponse();

  /** Closes the connection, so that a response that was started does not look complete. */
  void abort();

  /** Returns whether the caller's connection is open. */
  boolean isOpen();
}
