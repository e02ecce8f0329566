package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what becomes of a request at an upstream, on the event loop. */
interface AnswerListener {

  /** No connection could be opened; nothing was sent. */
  void unreachable(Throwable cause);

  /** The head of the answer came. */
  void head(AnswerHead head, HttpResponse response);

  /** Part of the body came; the buffer is released after the call. */
  void content(ByteBuf content);

  /** The answer is complete. */
  void complete();

  /** The connection broke, or brought no valid answer, after the request may have been sent. */
  void broken(Throwable cause);
}
