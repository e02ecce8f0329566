package org.cranberrystand.daemon.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.SseEvent;
import org.cranberrystand.wire.http.SseParser;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.http.client.StreamedResponse;

/**
 * Relays the events of one answer in order and resumes the stream if its connection breaks.
 *
 * <p>Publishes to one subscriber. A chunk is read from the source only when the subscriber has
 * requested one, or when the subscriber has cancelled and the answer is recorded to its end. All
 * state is confined to one event loop; methods may be called from any thread.
 */
final class StreamRelay implements Publisher<ByteBuf> {
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final int MAX_RECORDED_BYTES = 256 << 10;
  private static final int MAX_RESUMES = 3;
  private static final Duration RESUME_DELAY = Duration.ofMillis(50);

  /** Reopens the stream from a given event. */
  interface Resumer {
    Promise<StreamedResponse> open(long from);
  }

  /** Whether the relay records the answer. */
  enum Retention {
    /** The answer is recorded and read to its end even if the caller disconnects. */
    RECORD,
    /** The answer is not recorded, since another node or the engine retains it. */
    NONE
  }

  private final EventLoop loop;
  private final Retention retention;
  private final EventSequence sequence;
  private final Resumer resumer;
  private final IntConsumer onEvents;
  private final IntConsumer onDropped;
  private ByteArrayOutputStream recorded;
  private Subscriber<? super ByteBuf> subscriber;
  private Runnable abort = () -> {};
  private Source source;
  private long demand;
  private boolean detached;
  private boolean cancelled;
  private boolean connectionBroke;
  // Accepted events that the subscriber has not requested yet; at most one chunk.
  private String pendingText;
  private boolean completed;
  private String pendingError;

  /**
   * Creates a relay.
   *
   * @param loop the event loop to which all state is confined
   * @param retention whether the answer is recorded
   * @param sequence validates the events
   * @param resumer reopens the stream after its connection broke
   * @param onEvents called with the number of events in each chunk
   * @param onDropped called with the number of events that were dropped as repeated, out of
   *     sequence or belonging to another request
   */
  StreamRelay(
      EventLoop loop,
      Retention retention,
      EventSequence sequence,
      Resumer resumer,
      IntConsumer onEvents,
      IntConsumer onDropped) {
    this.loop = loop;
    this.retention = retention;
    this.recorded = retention == Retention.RECORD ? new ByteArrayOutputStream() : null;
    this.sequence = sequence;
    this.resumer = resumer;
    this.onEvents = onEvents;
    this.onDropped = onDropped;
  }

  /**
   * Sets the action that closes the connection to the caller without the regular end of the
   * response. Must be called before {@link #subscribe}.
   */
  void setAbort(Runnable value) {
    this.abort = value;
  }

  /** Prevents resumption; used when the stream is cancelled at the engine. */
  void cancelResuming() {
    runOnLoop(() -> cancelled = true);
  }

  /** Drops the subscriber. An answer that is recorded is read to its end without back pressure. */
  void detach() {
    runOnLoop(
        () -> {
          detached = true;
          pendingText = null;
          if (retention == Retention.NONE) {
            cancelled = true;
          }
          if (source != null) {
            source.onDetached();
          }
        });
  }

  /**
   * Returns the recorded answer.
   *
   * @return the bytes, or empty if the answer is too long or not recorded
   */
  Optional<byte[]> recorded() {
    return Optional.ofNullable(recorded).map(ByteArrayOutputStream::toByteArray);
  }

  /**
   * Relays a stream until it is complete or cannot be resumed. The subscriber gets the end only
   * with {@link #complete} or {@link #fail}.
   *
   * @param first the response that carries the start of the stream
   * @return whether the answer is complete
   */
  Promise<Boolean> run(StreamedResponse first) {
    return relayFrom(first, MAX_RESUMES);
  }

  /**
   * Returns whether the end of the stream suggests a crash of the engine.
   *
   * @return false if the stream was cancelled or was closed because of its content
   */
  boolean suggestsCrash() {
    return connectionBroke && !cancelled;
  }

  /** Ends the response regularly. */
  void complete() {
    completed = true;
    flush();
  }

  /**
   * Ends the response with an error event and closes the connection without the final chunk.
   *
   * @param problem the content of the error event
   */
  void fail(ProblemDocument problem) {
    String text = new SseEvent(-1, SseEvent.ERROR, Json.toText(problem)).toText();
    runOnLoop(
        () -> {
          pendingError = text;
          flush();
        });
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> value) {
    runOnLoop(
        () -> {
          subscriber = value;
          value.onSubscribe(new CallerSubscription());
        });
  }

  private Promise<Boolean> relayFrom(StreamedResponse response, int resumesLeft) {
    return Promise.<Boolean>async(
            downstream -> {
              source = new Source(downstream);
              response.getBody().subscribe(source);
            })
        .flatMap(complete -> complete ? Promise.value(true) : resume(resumesLeft));
  }

  private Promise<Boolean> resume(int resumesLeft) {
    if (cancelled || resumesLeft == 0) {
      return Promise.value(false);
    }
    return Promise.value(RESUME_DELAY)
        .defer(RESUME_DELAY)
        .flatMap(
            ignored ->
                resumer
                    .open(sequence.nextId())
                    .map(Optional::of)
                    .mapError(cause -> Optional.<StreamedResponse>empty()))
        .flatMap(
            opened -> {
              if (opened.isEmpty()) {
                return resume(resumesLeft - 1);
              }
              return opened.get().getStatusCode() == 200
                  ? relayFrom(opened.get(), resumesLeft - 1)
                  : Promise.value(false);
            });
  }

  private void deliver(String text) {
    record(text.getBytes(StandardCharsets.UTF_8));
    pendingText = text;
    flush();
  }

  private void record(byte[] bytes) {
    if (recorded != null && recorded.size() + bytes.length <= MAX_RECORDED_BYTES) {
      recorded.writeBytes(bytes);
    } else {
      recorded = null;
    }
  }

  private void flush() {
    if (detached) {
      pendingText = null;
    } else if (subscriber != null) {
      if (pendingText != null && demand > 0) {
        String text = pendingText;
        pendingText = null;
        send(text);
      }
      if (pendingText == null && !detached) {
        flushEnd();
      }
    }
  }

  private void flushEnd() {
    if (completed) {
      detached = true;
      subscriber.onComplete();
    } else if (pendingError != null && demand > 0) {
      detached = true;
      send(pendingError);
      // After an error signal Ratpack would write the final chunk, which marks a complete response.
      abort.run();
    }
  }

  private void send(String text) {
    demand--;
    subscriber.onNext(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private void runOnLoop(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
    } else {
      loop.execute(task);
    }
  }

  /** Subscription of the caller. */
  private final class CallerSubscription implements Subscription {
    @Override
    public void request(long n) {
      runOnLoop(
          () -> {
            demand = demand + n < 0 ? Long.MAX_VALUE : demand + n;
            flush();
            if (source != null) {
              source.requestNextChunk();
            }
          });
    }

    @Override
    public void cancel() {
      detach();
    }
  }

  /** One response body that carries a part of the answer. */
  private final class Source implements Subscriber<ByteBuf> {
    private final Downstream<? super Boolean> end;
    private final SseParser parser = new SseParser(MAX_EVENT_BYTES);
    private Subscription subscription;
    private boolean awaitingChunk;
    private boolean ended;

    Source(Downstream<? super Boolean> end) {
      this.end = end;
    }

    @Override
    public void onSubscribe(Subscription value) {
      subscription = value;
      // Ratpack loses the signal of a connection that breaks between the response head and the
      // first demand. The first chunk is therefore requested at once and kept as pending text.
      awaitingChunk = true;
      value.request(1);
    }

    void requestNextChunk() {
      if (!awaitingChunk && !ended && pendingText == null && (demand > 0 || detached)) {
        awaitingChunk = true;
        subscription.request(1);
      }
    }

    void onDetached() {
      if (retention == Retention.NONE && subscription != null && !ended) {
        closeIncomplete();
      } else {
        requestNextChunk();
      }
    }

    @Override
    public void onNext(ByteBuf chunk) {
      byte[] bytes = new byte[chunk.readableBytes()];
      chunk.readBytes(bytes);
      chunk.release();
      awaitingChunk = false;
      if (ended) {
        return;
      }
      try {
        accept(bytes);
      } catch (IOException e) {
        closeIncomplete();
      }
      requestNextChunk();
    }

    private void accept(byte[] bytes) throws IOException {
      StringBuilder text = new StringBuilder();
      int count = 0;
      Boolean complete = null;
      for (SseEvent event : parser.feed(bytes)) {
        EventSequence.CheckResult verdict = sequence.check(event);
        if (verdict != EventSequence.CheckResult.ACCEPTED) {
          if (verdict != EventSequence.CheckResult.ERROR) {
            onDropped.accept(1);
          }
          complete = false;
          break;
        }
        text.append(event.toText());
        if (event.isDone()) {
          complete = true;
          break;
        }
        count++;
      }
      if (count > 0) {
        onEvents.accept(count);
      }
      // Delivery can make the subscriber request more, which must not reach a source that ended.
      if (complete != null) {
        close();
      }
      if (text.length() > 0) {
        deliver(text.toString());
      }
      if (complete != null) {
        end.success(complete);
      }
    }

    private void closeIncomplete() {
      if (!ended) {
        close();
        end.success(false);
      }
    }

    private void close() {
      connectionBroke = false;
      ended = true;
      subscription.cancel();
    }

    @Override
    public void onError(Throwable cause) {
      connectionEnded();
    }

    @Override
    public void onComplete() {
      connectionEnded();
    }

    private void connectionEnded() {
      if (!ended) {
        connectionBroke = true;
        ended = true;
        end.success(false);
      }
    }
  }
}
