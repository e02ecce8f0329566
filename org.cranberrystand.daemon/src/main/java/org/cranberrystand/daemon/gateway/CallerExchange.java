package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** One request of a caller and the way to answer it. Used on the event loop only. */
interface CallerExchange {

  /** Receives what the caller's connection does after its request was read. */
  interface Listener {
    /** The caller closed its connection. */
    void callerGone();

    /** The caller reads again, or stopped reading. */
    void writable(boolean writable);
  }

  /** Returns the head of the request. */
  HttpRequest request();

  /** Returns the whole body; owned by the exchange. */
  ByteBuf body();

  void setListener(Listener listener);

  /** Sends a whole answer; the body is released. */
  void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Begins an answer whose length is not known. */
  void begin(HttpResponseStatus status, HttpHeaders headers);

  /** Sends part of the body; the buffer is released. */
  void send(ByteBuf part);

  /** Ends an answer that was begun. */
  void finish();

  /** Closes the connection, so that an answer that was begun does not look complete. */
  void abort();

  /** Returns whether the caller's connection is open. */
  boolean isOpen();
}
