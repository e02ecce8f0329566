package org.cranberrystand.fake;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Sends a stream of a fake engine over one connection and injects a fault.
 *
 * <p>Confined to the event loop of the channel.
 */
final class StreamConnection implements Publisher<ByteBuf>, Subscription {
  private final EngineStream stream;
  private final Channel channel;
  private final StreamFault fault;
  private final Runnable closeAfterWrites;
  private final Runnable listener = this::scheduleSend;
  private Subscriber<? super ByteBuf> subscriber;
  private int nextEvent;
  private int sentBytes;
  private long demand;
  private boolean faultInjected;
  private boolean closed;

  StreamConnection(
      EngineStream stream,
      int from,
      Channel channel,
      StreamFault fault,
      Runnable closeAfterWrites) {
    this.stream = stream;
    this.nextEvent = from;
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
    scheduleSend();
  }

  @Override
  public void cancel() {
    closed = true;
    stream.removeListener(listener);
  }

  private void scheduleSend() {
    channel.eventLoop().execute(this::send);
  }

  private void send() {
    while (!closed && demand > 0) {
      if (stream.isCancelled()) {
        closeConnection();
      } else if (nextEvent < stream.sendableEvents()) {
        if (!injectFault()) {
          sendText(stream.event(nextEvent));
          nextEvent++;
        }
      } else {
        break;
      }
    }
    if (!closed && nextEvent > stream.totalTokens()) {
      closed = true;
      stream.removeListener(listener);
      subscriber.onComplete();
    }
  }

  // Returns true if the fault replaced the next event.
  private boolean injectFault() {
    if (faultInjected || nextEvent != fault.position()) {
      return false;
    }
    switch (fault.type()) {
      case CLOSE_BEFORE_EVENT -> closeConnection();
      case OTHER_REQUEST -> sendText(stream.otherRequestEvent(nextEvent));
      case REPEATED_EVENT -> sendText(stream.event(Math.max(0, nextEvent - 1)));
      case MISSING_EVENT -> nextEvent++;
      default -> {
        return false;
      }
    }
    faultInjected = true;
    return true;
  }

  private void sendText(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    boolean truncated =
        fault.type() == StreamFault.Type.CLOSE_AFTER_BYTES
            && sentBytes + bytes.length >= fault.position();
    if (truncated) {
      bytes = Arrays.copyOf(bytes, Math.max(0, fault.position() - sentBytes));
    }
    sentBytes += bytes.length;
    demand--;
    subscriber.onNext(Unpooled.wrappedBuffer(bytes));
    if (truncated) {
      closeConnection();
    }
  }

  private void closeConnection() {
    closed = true;
    stream.removeListener(listener);
    closeAfterWrites.run();
  }
}
