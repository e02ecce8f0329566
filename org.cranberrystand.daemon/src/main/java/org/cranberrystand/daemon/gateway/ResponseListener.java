package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to a request that was sent to an upstream. Called on the event loop. */
interface ResponseListener {

  /** No connection could be opened; nothing was sent. */
  void connectFailed(Throwable cause);

  /** Sets what heads, finished or not, and other bytes that are not decoded yet take in memory. */
  void headKept(long bytes);

  /** The status line and headers of the response arrived. */
  void headReceived(ResponseHeaders headers, HttpResponse response);

  /** Part of the body arrived; the buffer is released after the call. */
  void contentReceived(ByteBuf content);

  /**
   * The response is complete.
   *
   * @param bytesFollow whether bytes have arrived after the response
   * @return whether the connection may carry further requests
   */
  boolean responseCompleted(boolean bytesFollow);

  /** The connection failed or delivered an invalid response; the request may have been sent. */
  void connectionBroken(Throwable cause, boolean endedByUpstream);
}
