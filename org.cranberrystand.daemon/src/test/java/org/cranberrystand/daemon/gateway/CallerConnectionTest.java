package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.routing.CallerLimits;
import org.testng.annotations.Test;

/** Tests when a caller's connection may be closed. */
public final class CallerConnectionTest {
  /** Longer than a caller takes to send a request on a new connection. */
  private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Holds written messages as the socket of a caller does that reads nothing. */
  private static final class SlowCaller extends ChannelOutboundHandlerAdapter {
    private final List<ChannelPromise> unsent = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      unsent.add(promise);
    }

    void readAll() {
      unsent.forEach(ChannelPromise::setSuccess);
    }
  }

  /** Responds to each request at once. */
  private static final class RespondingOwner implements CallerConnection.Owner {
    @Override
    public CallerLimits limits() {
      return CallerLimits.defaults();
    }

    @Override
    public void requestReceived(CallerExchange exchange) {
      exchange.respond(
          HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.copiedBuffer(new byte[100]));
    }

    @Override
    public boolean isClosingConnections() {
      return false;
    }

    @Override
    public boolean reserveBodyMemory(int bytes) {
      return true;
    }

    @Override
    public void releaseBodyMemory(int bytes) {
      // No limit.
    }

    @Override
    public void connectionOpened(CallerConnection connection) {
      // Not counted.
    }

    @Override
    public void connectionClosed(CallerConnection connection) {
      // Not counted.
    }
  }

  /** Guards against a response that a planned stop cuts off because its caller reads slowly. */
  @Test
  public void connectionWithAnUnsentResponseIsNotIdle() {
    SlowCaller caller = new SlowCaller();
    CallerConnection connection = new CallerConnection(new RespondingOwner());
    EmbeddedChannel channel = new EmbeddedChannel(caller, connection);
    DefaultHttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/stock/1");
    request.headers().set("Host", "shop.example");
    connection.bytesArrived();
    channel.writeInbound(request, LastHttpContent.EMPTY_LAST_CONTENT);

    connection.closeIfIdle(System.nanoTime() + LONG_NANOS);
    assertTrue(channel.isOpen(), "closed with a response that the caller has not read");

    caller.readAll();
    connection.closeIfIdle(System.nanoTime() + LONG_NANOS);
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
  }

  /** Guards against closing a connection in a planned stop before its first request is read. */
  @Test
  public void connectionThatWasJustOpenedIsNotIdle() {
    CallerConnection connection = new CallerConnection(new RespondingOwner());
    EmbeddedChannel channel = new EmbeddedChannel(connection);

    connection.closeIfIdle(System.nanoTime());
    assertTrue(channel.isOpen(), "closed before its first request");

    connection.closeIfIdle(System.nanoTime() + LONG_NANOS);
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
  }
}
