package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.routing.CallerLimits;
import org.testng.annotations.Test;

/** Tests when a caller's connection may be closed. */
public final class CallerConnectionTest {
  /** Longer than a caller takes to send a request on a new connection. */
  private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long AMPLE_BYTES = 1 << 20;
  private static final String REQUEST = "GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n";

  /** Holds written messages as the socket of a caller does that reads nothing. */
  private static final class SlowCaller extends ChannelOutboundHandlerAdapter {
    private final List<ChannelPromise> unsent = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      unsent.add(promise);
    }

    void readAll() {
      List<ChannelPromise> sent = List.copyOf(unsent);
      unsent.clear();
      sent.forEach(ChannelPromise::setSuccess);
    }
  }

  /** Responds to each request at once. */
  private static final class RespondingOwner implements CallerConnection.Owner {
    private final CallerMemory memory;
    private final List<String> rejections = new ArrayList<>();
    private int received;

    RespondingOwner() {
      this(AMPLE_BYTES);
    }

    RespondingOwner(long memoryBytes) {
      memory = new CallerMemory(memoryBytes, List.of(), Runnable::run);
    }

    @Override
    public CallerLimits limits() {
      return CallerLimits.defaults();
    }

    @Override
    public void requestReceived(CallerExchange exchange) {
      received++;
      exchange.respond(
          HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.copiedBuffer(new byte[100]));
    }

    @Override
    public void requestRejected(HttpRequest request, HttpResponseStatus status, String cause) {
      rejections.add(
          status.code() + " " + (request == null ? "none" : request.uri()) + " " + cause);
    }

    @Override
    public boolean isClosingConnections() {
      return false;
    }

    @Override
    public CallerMemory memory() {
      return memory;
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

  /** Guards against callers that are told their request is wrong without a word in the log. */
  @Test
  public void ownerLearnsWhyARequestIsRejected() {
    assertEquals(
        rejectionOf("POST /order/1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"),
        "400 /order/1 needs one Host header and a known body length");
    assertEquals(
        rejectionOf("POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n"),
        "413 /order/1 the body is too large");
    String malformed = rejectionOf("POST /order/1 HTTP/1.1\r\nHost: h\r\nOdd\u0001: 1\r\n\r\n");
    assertTrue(malformed.startsWith("400 none the request is malformed, java.lang."), malformed);
  }

  private static String rejectionOf(String text) {
    RespondingOwner owner = new RespondingOwner();
    CallerConnection connection = new CallerConnection(owner);
    EmbeddedChannel channel = new EmbeddedChannel(connection.decoder(), connection);
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    channel.finishAndReleaseAll();
    return String.join(",", owner.rejections);
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

  private static EmbeddedChannel open(SlowCaller caller, CallerConnection connection) {
    return new EmbeddedChannel(caller, connection.decoder(), new HttpResponseEncoder(), connection);
  }

  private static ByteBuf ascii(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  /** Guards against taking a request while the response to the one before is unread. */
  @Test
  public void requestSentAheadIsTakenBeforeTheResponseIsSent() {
    SlowCaller caller = new SlowCaller();
    RespondingOwner owner = new RespondingOwner();
    EmbeddedChannel channel = open(caller, new CallerConnection(owner));

    channel.writeInbound(ascii(REQUEST.repeat(3)));
    assertEquals(owner.received, 1);

    caller.readAll();
    channel.runPendingTasks();
    assertEquals(owner.received, 2);

    caller.readAll();
    channel.runPendingTasks();
    assertEquals(owner.received, 3);
    channel.finishAndReleaseAll();
  }

  /** Guards against reading without end what is sent ahead, and against not reading on later. */
  @Test
  public void requestsSentAheadAreReadWithoutEnd() {
    SlowCaller caller = new SlowCaller();
    RespondingOwner owner = new RespondingOwner();
    EmbeddedChannel channel = open(caller, new CallerConnection(owner));

    channel.writeInbound(ascii(REQUEST));
    assertTrue(channel.config().isAutoRead(), "a disconnect would not be seen");
    int ahead = CallerLimits.defaults().maxHeaderBytes() / REQUEST.length() + 1;
    channel.writeInbound(ascii(REQUEST.repeat(ahead)));
    assertFalse(channel.config().isAutoRead(), "reads on");

    for (int i = 0; i < ahead; i++) {
      caller.readAll();
      channel.runPendingTasks();
    }
    assertEquals(owner.received, ahead + 1);
    assertTrue(channel.config().isAutoRead(), "no longer reads");
    channel.finishAndReleaseAll();
  }

  /** Guards against counting the wait for a slow reader as time that the next head takes. */
  @Test
  public void requestSentAheadTimesOutWhileTheResponseIsUnread() {
    SlowCaller caller = new SlowCaller();
    RespondingOwner owner = new RespondingOwner();
    CallerConnection connection = new CallerConnection(owner);
    EmbeddedChannel channel = open(caller, connection);
    channel.writeInbound(ascii(REQUEST));
    int writes = caller.unsent.size();

    connection.bytesArrived();
    channel.writeInbound(ascii(REQUEST));
    CallerLimits limits = owner.limits();
    long headTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
    connection.checkTimeouts(System.nanoTime() + 2 * headTimeoutNanos, limits);

    assertEquals(caller.unsent.size(), writes, "answered again");
    caller.readAll();
    channel.runPendingTasks();
    assertEquals(owner.received, 2);
    channel.finishAndReleaseAll();
  }

  /** Guards against a connection that stays open although requests sent ahead were dropped. */
  @Test
  public void connectionStaysOpenAfterInputWasDropped() {
    SlowCaller caller = new SlowCaller();
    RespondingOwner owner = new RespondingOwner(3_000);
    EmbeddedChannel channel = open(caller, new CallerConnection(owner));

    channel.writeInbound(ascii(REQUEST));
    channel.writeInbound(ascii(REQUEST.repeat(100)));
    assertTrue(channel.isOpen(), "closed before the response was sent");

    caller.readAll();
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
    assertEquals(owner.received, 1);
    assertEquals(owner.memory.usedBytes(), 0);
  }

  /** Guards against memory that stays reserved for requests and connections that are gone. */
  @Test
  public void memoryOfEndedRequestsStaysReserved() {
    RespondingOwner owner = new RespondingOwner();
    CallerConnection connection = new CallerConnection(owner);
    EmbeddedChannel channel =
        new EmbeddedChannel(connection.decoder(), new HttpResponseEncoder(), connection);
    String head = "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n";
    String trailers = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\na: b\r\n";

    channel.writeInbound(ascii(head + "Content-Length: 5000\r\n\r\n" + "x".repeat(2_000)));
    assertTrue(owner.memory.usedBytes() > 2_000, "used " + owner.memory.usedBytes());
    channel.writeInbound(ascii("x".repeat(3_000) + head + trailers));
    channel.runPendingTasks();
    assertEquals(owner.received, 1);
    channel.finishAndReleaseAll();

    assertEquals(owner.memory.usedBytes(), 0);
  }

  /** Guards against a refusal for want of memory that does not say when to come again. */
  @Test
  public void requestWithoutMemoryIsNotRefused() {
    RespondingOwner owner = new RespondingOwner(4_000);
    CallerConnection connection = new CallerConnection(owner);
    EmbeddedChannel channel =
        new EmbeddedChannel(connection.decoder(), new HttpResponseEncoder(), connection);

    channel.writeInbound(ascii("GET /stock/1 HTTP/1.1\r\n" + "a:\r\n".repeat(100)));

    StringBuilder response = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      response.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    assertTrue(response.toString().startsWith("HTTP/1.1 503 "), response.toString());
    assertTrue(response.toString().contains("\r\nretry-after: 0.500\r\n"), response.toString());
    assertTrue(response.toString().contains("\r\nconnection: close\r\n"), response.toString());
    assertEquals(owner.received, 0);
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
    assertEquals(owner.memory.usedBytes(), 0);
  }
}
