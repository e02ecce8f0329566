package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Puts the answer of one attempt together: streams event by event, other answers whole as long as
 * they are small. Used on the event loop only.
 */
final class AttemptAnswer implements AnswerListener {
  /** Answers up to this size are read whole before the caller gets them. */
  private static final int MAX_COLLECTED_BYTES = 256 << 10;

  /** Told what came. After {@link #isOver} nothing more is told. */
  interface Receiver {
    /** Returns whether the request has got its final answer. */
    boolean isOver();

    /** Bytes came. */
    void heard();

    /** The connection could not be opened. */
    void unreachable(Throwable cause);

    /** Whole events of a stream came. */
    void events(AttemptAnswer answer, ByteBuf events, int count, String lastEventId);

    /** A part of an answer came that is too large to be read whole. */
    void part(AttemptAnswer answer, ByteBuf part);

    /** A stream ended. */
    void streamEnded(AttemptAnswer answer, boolean insideEvent);

    /** An answer that is not a stream ended; the body is given away. */
    void answered(AttemptAnswer answer, ByteBuf body);

    /** The connection broke before the end of the answer. */
    void broken(Throwable cause);
  }

  private final Receiver receiver;
  private final boolean streaming;
  private HttpResponse response;
  private AnswerHead head;
  private EventSplitter events;
  private ByteBuf collected;

  AttemptAnswer(Receiver receiver, boolean streaming) {
    this.receiver = receiver;
    this.streaming = streaming;
  }

  HttpResponse response() {
    return response;
  }

  HttpResponseStatus status() {
    return response.status();
  }

  /** Returns whether the upstream says that it did not run the request. */
  boolean isNotRun() {
    return head.notRun();
  }

  /** Returns whether the caller may get the answer as that of the upstream. */
  boolean mayPassOn() {
    return head.sealed() && !isNotRunPromise(status().code());
  }

  /** These statuses promise that a request did not run, which an upstream must say explicitly. */
  private static boolean isNotRunPromise(int status) {
    return status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
  }

  /** Frees what was read and not given away. */
  void release() {
    if (collected != null) {
      collected.release();
      collected = null;
    }
  }

  @Override
  public void unreachable(Throwable cause) {
    if (!receiver.isOver()) {
      receiver.unreachable(cause);
    }
  }

  @Override
  public void head(AnswerHead answerHead, HttpResponse answer) {
    receiver.heard();
    response = answer;
    head = answerHead;
    boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
    if (streaming && head.sealed() && success) {
      events = new EventSplitter();
    } else {
      collected = Unpooled.buffer();
    }
  }

  @Override
  public void content(ByteBuf content) {
    if (receiver.isOver()) {
      return;
    }
    receiver.heard();
    if (events != null) {
      ByteBuf whole = events.add(content);
      if (whole.isReadable()) {
        receiver.events(this, whole, events.takeCount(), events.lastId());
      }
    } else if (collected.readableBytes() + content.readableBytes() <= MAX_COLLECTED_BYTES) {
      collected.writeBytes(content);
    } else {
      forwardLarge(content);
    }
  }

  private void forwardLarge(ByteBuf content) {
    if (collected.isReadable()) {
      ByteBuf first = collected.copy();
      collected.clear();
      receiver.part(this, first);
    }
    if (!receiver.isOver()) {
      receiver.part(this, content.copy());
    }
  }

  @Override
  public void complete() {
    if (receiver.isOver()) {
      return;
    }
    if (events != null) {
      receiver.streamEnded(this, events.hasPartialEvent());
    } else {
      ByteBuf body = collected;
      collected = null;
      receiver.answered(this, body);
    }
  }

  @Override
  public void broken(Throwable cause) {
    if (!receiver.isOver()) {
      receiver.broken(cause);
    }
  }
}
