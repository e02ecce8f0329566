package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.IOException;

/**
 * Assembles the response of one attempt: streams event by event, and other responses as a whole if
 * they are small. Used only on the event loop.
 */
final class ResponseAssembler implements ResponseListener, ResponseMemory.Holder {
  /** Responses up to this size are buffered completely before the caller receives them. */
  private static final int MAX_BUFFERED_BYTES = 256 << 10;

  /** The size of the parts of a response that the caller receives before its end. */
  private static final int PART_BYTES = 64 << 10;

  /**
   * Receives the assembled response. No method is called while {@link #isDone} returns true, except
   * {@link #headReceived}.
   */
  interface Receiver {
    /** Returns whether the request has ended, or goes on with another response than this one. */
    boolean isDone(ResponseAssembler response);

    /** The head of the response arrived. */
    void headReceived(ResponseHeaders headers);

    /** Bytes of the response arrived. */
    void bytesReceived();

    /** No connection to the upstream could be opened. */
    void connectFailed(Throwable cause);

    /** Complete events of a stream arrived. */
    void eventsReceived(ResponseAssembler response, ByteBuf events, int count, String lastEventId);

    /** What arrived is no valid part of a response; the rest of it is not wanted. */
    void bodyInvalid(String cause);

    /** A part of a response arrived that is too large to be buffered. */
    void bodyPartReceived(ResponseAssembler response, ByteBuf part);

    /** A stream ended. */
    void streamEnded(ResponseAssembler response, boolean insideEvent);

    /** A response other than a stream ended; the receiver must release the body. */
    void responseCompleted(ResponseAssembler response, ByteBuf body);

    /** The connection failed before the end of the response. */
    void connectionBroken(Throwable cause, boolean endedByUpstream);
  }

  private static final String RUNS_TOGETHER = "response runs into another one";
  private static final String MEMORY_SPENT = "memory for responses is spent";

  private final String name;
  private final Receiver receiver;
  private final boolean streaming;
  private final String lastEventId;
  private final EmbeddedResponse embeddedResponse;
  private final ResponseMemory memory;
  private final ResponseMemory.Account account;
  private HttpResponse response;
  private ResponseHeaders headers;
  private EventSplitter eventSplitter;
  private ByteBuf bufferedBody;
  private int maxBufferedBytes = MAX_BUFFERED_BYTES;
  private long headBytes;
  private boolean released;

  /** When the upstream last made progress; parts of an event of a stream are none. */
  private long progressNanos = System.nanoTime();

  /**
   * Creates an assembler.
   *
   * @param name names the response in the log
   * @param receiver receives the response
   * @param streaming whether a success is a stream of events
   * @param lastEventId the event after which a stream must begin; null if none
   * @param embeddedResponse recognizes responses that run together
   * @param memory limits the memory that incomplete responses take
   */
  ResponseAssembler(
      String name,
      Receiver receiver,
      boolean streaming,
      String lastEventId,
      EmbeddedResponse embeddedResponse,
      ResponseMemory memory) {
    this.name = name;
    this.receiver = receiver;
    this.streaming = streaming;
    this.lastEventId = lastEventId;
    this.embeddedResponse = embeddedResponse;
    this.memory = memory;
    this.account = memory.open(this);
  }

  /** Returns how long the upstream has made no progress. */
  long silentNanos() {
    return System.nanoTime() - progressNanos;
  }

  HttpResponse response() {
    return response;
  }

  HttpResponseStatus status() {
    return response.status();
  }

  /** Returns the headers of the response for the caller. */
  HttpHeaders callerHeaders(HeaderCodec codec) {
    HttpHeaders copy = new DefaultHttpHeaders().add(response.headers());
    HopByHopHeaders.remove(copy);
    codec.removeInternalHeaders(copy);
    return copy;
  }

  /** Returns the identifier of the first event of the stream; null before. */
  String firstEventId() {
    return eventSplitter.firstEventId();
  }

  /** Returns whether the upstream states that it did not run the request. */
  boolean isNotRun() {
    return headers.notRun();
  }

  /** Returns whether the response may be forwarded to the caller. */
  boolean isForwardable() {
    return headers.sealed() && !impliesNotRun(status().code());
  }

  /**
   * Callers take these statuses to mean that the request did not run, which only an explicit
   * statement of the upstream can guarantee.
   */
  private static boolean impliesNotRun(int status) {
    return status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
  }

  /** Releases what is buffered and was not handed to the receiver; nothing more is buffered. */
  void release() {
    released = true;
    if (bufferedBody != null) {
      bufferedBody.release();
      bufferedBody = null;
    }
    if (eventSplitter != null) {
      eventSplitter.release();
    }
    account.set(0);
  }

  /** Charges what is buffered, and has this or other responses give up memory if it is spent. */
  private void charge() {
    setCharge();
    memory.enforce();
  }

  private void setCharge() {
    if (!released) {
      long bodyBytes = bufferedBody == null ? 0 : bufferedBody.capacity();
      long eventBytes = eventSplitter == null ? 0 : eventSplitter.keptBytes();
      account.set(headBytes + bodyBytes + eventBytes);
    }
  }

  @Override
  public void memorySpent() {
    if (receiver.isDone(this)) {
      release();
    } else if (bufferedBody == null || !isForwardable() || !forwardBody()) {
      memory.logSpent(account, name);
      receiver.bodyInvalid(MEMORY_SPENT);
      release();
    }
  }

  @Override
  public void headKept(long bytes) {
    headBytes = bytes;
    charge();
  }

  @Override
  public void connectFailed(Throwable cause) {
    if (!receiver.isDone(this)) {
      receiver.connectFailed(cause);
    }
  }

  @Override
  public void headReceived(ResponseHeaders responseHeaders, HttpResponse httpResponse) {
    progressNanos = System.nanoTime();
    receiver.headReceived(responseHeaders);
    response = httpResponse;
    headers = responseHeaders;
    boolean success = httpResponse.status().codeClass() == HttpStatusClass.SUCCESS;
    if (streaming && headers.sealed() && success) {
      eventSplitter = new EventSplitter(lastEventId);
    } else {
      bufferedBody = Unpooled.buffer();
    }
  }

  @Override
  public void contentReceived(ByteBuf content) {
    if (released || receiver.isDone(this)) {
      return;
    }
    receiver.bytesReceived();
    if (eventSplitter != null) {
      addToStream(content);
    } else {
      progressNanos = System.nanoTime();
      addToBody(content);
    }
    charge();
  }

  private void addToStream(ByteBuf content) {
    ByteBuf events = eventSplitter.add(content);
    if (embeddedResponse.isInBody(events)) {
      events.release();
      receiver.bodyInvalid(RUNS_TOGETHER);
      return;
    }
    if (events.isReadable()) {
      progressNanos = System.nanoTime();
      receiver.eventsReceived(
          this, events, eventSplitter.takeEventCount(), eventSplitter.lastEventId());
    }
    if (receiver.isDone(this)) {
      return;
    }
    if (eventSplitter.disorder() != null) {
      receiver.bodyInvalid(eventSplitter.disorder());
    } else if (eventSplitter.isEventTooLong()) {
      receiver.bodyInvalid("event without end");
    }
  }

  private void addToBody(ByteBuf content) {
    int size = bufferedBody.readableBytes() + content.readableBytes();
    if (size > maxBufferedBytes) {
      // Would be doubled otherwise.
      bufferedBody.capacity(size);
    }
    bufferedBody.writeBytes(content);
    if (size > maxBufferedBytes) {
      forwardBody();
    }
  }

  /** Forwards what is buffered; returns false if there is nothing that may be forwarded yet. */
  private boolean forwardBody() {
    if (embeddedResponse.isInBody(bufferedBody)) {
      receiver.bodyInvalid(RUNS_TOGETHER);
      release();
      return true;
    }
    // A head at the end is checked again together with the bytes that follow it.
    int end = embeddedResponse.unfinishedHeadIndex(bufferedBody);
    if (end == bufferedBody.readerIndex()) {
      return false;
    }
    ByteBuf part = bufferedBody;
    bufferedBody = part.copy(end, part.writerIndex() - end);
    part.writerIndex(end);
    maxBufferedBytes = PART_BYTES;
    setCharge();
    receiver.bodyPartReceived(this, part);
    return true;
  }

  @Override
  public boolean responseCompleted(boolean bytesFollow) {
    if (released || receiver.isDone(this)) {
      return true;
    }
    if (eventSplitter != null) {
      receiver.streamEnded(this, eventSplitter.hasPartialEvent());
    } else if (runsTogether(bytesFollow)) {
      receiver.connectionBroken(new IOException(RUNS_TOGETHER), false);
      return false;
    } else {
      ByteBuf body = bufferedBody;
      bufferedBody = null;
      release();
      receiver.responseCompleted(this, body);
    }
    return true;
  }

  /** Returns whether the body holds the next response, or its start, as its last bytes. */
  private boolean runsTogether(boolean bytesFollow) {
    int end = bufferedBody.writerIndex();
    return embeddedResponse.isInBodyOrCut(bufferedBody)
        || (bytesFollow && embeddedResponse.unfinishedHeadIndex(bufferedBody) < end);
  }

  @Override
  public void connectionBroken(Throwable cause, boolean endedByUpstream) {
    if (!receiver.isDone(this)) {
      receiver.connectionBroken(cause, endedByUpstream);
    }
  }
}
