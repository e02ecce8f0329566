package org.cranberrystand.fake;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** One connection that reads a stream of a fake engine. Confined to the channel's event loop. */
final class StreamConnection implements Publisher<ByteBuf>, Subscription {
  private final EngineStream stream;
  private final Channel channel;
  private final StreamFault fault;
  private final Runnable closeAfterWrites;
  private final Runnable listener = this::wake;
  private Subscriber<? super ByteBuf> subscriber;
  private int position;
  private int sentBytes;
  private long demand;
  private boolean faultDone;
  private boolean ended;

  StreamConnection(
      EngineStream stream,
      int from,
      Channel channel,
      StreamFault fault,
      Runnable closeAfterWrites) {
    this.stream = stream;
    this.position = from;
    this.channel = channel;
    this.fault = fault;
    this.closeAfterWrites = closeAfterWrites;
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> value) {
    subscriber = value;
    stream.addListener(listener);
    channel.closeFuture().addListener(future -> stream.removeListener(listener));
    value.onSubscribe(this);
  }

  @Override
  public void request(long n) {
    demand = demand + n < 0 ? Long.MAX_VALUE : demand + n;
    wake();
  }

  @Override
  public void cancel() {
    ended = true;
    stream.removeListener(listener);
  }

  private void wake() {
    channel.eventLoop().execute(this::send);
  }

  private void send() {
    while (!ended && demand > 0) {
      if (stream.isCancelled()) {
        die();
      } else if (position < stream.available()) {
        if (!happens()) {
          emit(stream.event(position));
          position++;
        }
      } else {
        break;
      }
    }
    if (!ended && position > stream.tokens()) {
      ended = true;
      stream.removeListener(listener);
      subscriber.onComplete();
    }
  }

  // Returns whether a fault took the place of the next event.
  private boolean happens() {
    if (faultDone || position != fault.at()) {
      return false;
    }
    switch (fault.type()) {
      case CUT_EVENTS -> die();
      case FOREIGN -> emit(stream.foreignEvent(position));
      case LATE -> emit(stream.event(Math.max(0, position - 1)));
      case SKIP -> position++;
      default -> {
        return false;
      }
    }
    faultDone = true;
    return true;
  }

  private void emit(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    boolean cut =
        fault.type() == StreamFault.Type.CUT_BYTES && sentBytes + bytes.length >= fault.at();
    if (cut) {
      bytes = Arrays.copyOf(bytes, Math.max(0, fault.at() - sentBytes));
    }
    sentBytes += bytes.length;
    demand--;
    subscriber.onNext(Unpooled.wrappedBuffer(bytes));
    if (cut) {
      die();
    }
  }

  private void die() {
    ended = true;
    stream.removeListener(listener);
    closeAfterWrites.run();
  }
}
