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
 * Relays the events of one answer in order and resumes a stream that breaks.
 *
 * <p>Publishes to one subscriber. A chunk is read from the source only when the subscriber asked
 * for one, or when it left and the answer is read to its end nevertheless. All state is confined to
 * one event loop; methods may be called from any thread.
 */
final class StreamRelay implements Publisher<ByteBuf> {
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final int MAX_RECORDED_BYTES = 256 << 10;
  private static final int MAX_RESUMES = 3;
  private static final Duration RESUME_DELAY = Duration.ofMillis(50);

  /** Opens the stream again. */
  interface Resumer {
    Promise<StreamedResponse> open(long from);
  }

  /** What happens to the answer itself. */
  enum Retention {
    /** It is recorded and read to its end even when its caller leaves. */
    KEEP,
    /** It is passed through; another node or the engine holds it. */
    PASS
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
  private boolean brokeByConnection;
  // Accepted events that the caller has not asked for yet; at most one chunk.
  private String held;
  private boolean completed;
  private String pendingError;

  /**
   * Creates a relay.
   *
   * @param loop the event loop that all state is confined to
   * @param retention what happens to the answer
   * @param sequence checks the events
   * @param resumer opens the stream again after it broke
   * @param onEvents called with the number of events in each chunk
   * @param onDropped called with the number of events dropped as late or foreign
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
    this.recorded = retention == Retention.KEEP ? new ByteArrayOutputStream() : null;
    this.sequence = sequence;
    this.resumer = resumer;
    this.onEvents = onEvents;
    this.onDropped = onDropped;
  }

  /**
   * Sets how the connection to the caller is closed without a regular end. Must be called before a
   * subscriber arrives.
   */
  void setAbort(Runnable value) {
    this.abort = value;
  }

  /** Stops resuming; used when the stream is being cancelled at the engine. */
  void cancelResuming() {
    onLoop(() -> cancelled = true);
  }

  /** Tells the relay that nobody reads. A kept answer is read to its end without back pressure. */
  void detach() {
    onLoop(
        () -> {
          detached = true;
          held = null;
          if (retention == Retention.PASS) {
            cancelled = true;
          }
          if (source != null) {
            source.continueDetached();
          }
        });
  }

  /**
   * Returns the complete answer.
   *
   * @return the bytes, or empty if the answer is too long to be kept
   */
  Optional<byte[]> recorded() {
    return Optional.ofNullable(recorded).map(ByteArrayOutputStream::toByteArray);
  }

  /**
   * Relays a stream until it is complete or cannot be resumed. The end is not yet told to the
   * subscriber.
   *
   * @param first the response that starts the stream
   * @return whether the answer is complete
   */
  Promise<Boolean> run(StreamedResponse first) {
    return pump(first, MAX_RESUMES);
  }

  /**
   * Tells whether the end of the stream looks like a crash of the engine.
   *
   * @return false if the stream was cancelled or was left because of what it carried
   */
  boolean suggestsCrash() {
    return brokeByConnection && !cancelled;
  }

  /** Ends the answer regularly. */
  void complete() {
    completed = true;
    flush();
  }

  /**
   * Ends the answer with an error event and closes the connection without the final chunk.
   *
   * @param problem what went wrong
   */
  void fail(ProblemDocument problem) {
    String text = new SseEvent(-1, SseEvent.ERROR, Json.toText(problem)).toText();
    onLoop(
        () -> {
          pendingError = text;
          flush();
        });
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> value) {
    onLoop(
        () -> {
          subscriber = value;
          value.onSubscribe(new Demand());
        });
  }

  private Promise<Boolean> pump(StreamedResponse response, int resumesLeft) {
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
                  ? pump(opened.get(), resumesLeft - 1)
                  : Promise.value(false);
            });
  }

  private void accepted(String text) {
    record(text.getBytes(StandardCharsets.UTF_8));
    held = text;
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
      held = null;
    } else if (subscriber != null) {
      if (held != null && demand > 0) {
        String text = held;
        held = null;
        send(text);
      }
      if (held == null && !detached) {
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
      // An error signal would make Ratpack write the final chunk, which callers take for a clean
      // end.
      abort.run();
    }
  }

  private void send(String text) {
    demand--;
    subscriber.onNext(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private void onLoop(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
    } else {
      loop.execute(task);
    }
  }

  /** Demand of the caller. */
  private final class Demand implements Subscription {
    @Override
    public void request(long n) {
      onLoop(
          () -> {
            demand = demand + n < 0 ? Long.MAX_VALUE : demand + n;
            flush();
            if (source != null) {
              source.requestMore();
            }
          });
    }

    @Override
    public void cancel() {
      detach();
    }
  }

  /** One connection that carries a part of the answer. */
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
      // first request, so that one is made at once and its chunk is held.
      awaitingChunk = true;
      value.request(1);
    }

    void requestMore() {
      if (!awaitingChunk && !ended && held == null && (demand > 0 || detached)) {
        awaitingChunk = true;
        subscription.request(1);
      }
    }

    void continueDetached() {
      if (retention == Retention.PASS && subscription != null && !ended) {
        stop();
      } else {
        requestMore();
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
        stop();
      }
      requestMore();
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
      // Sending makes the caller ask for more, which must not reach a source that ended.
      if (complete != null) {
        leave();
      }
      if (text.length() > 0) {
        accepted(text.toString());
      }
      if (complete != null) {
        end.success(complete);
      }
    }

    private void stop() {
      if (!ended) {
        leave();
        end.success(false);
      }
    }

    private void leave() {
      brokeByConnection = false;
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
        brokeByConnection = true;
        ended = true;
        end.success(false);
      }
    }
  }
}
