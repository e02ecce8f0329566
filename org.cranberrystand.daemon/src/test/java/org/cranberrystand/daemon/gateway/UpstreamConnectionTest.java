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
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.cranberrystand.daemon.internal.EventLog;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which responses a connection takes for that to its pending request. */
public final class UpstreamConnectionTest {
  private static final int BODY_BYTES = 400;

  /** More than is buffered before the caller receives it. */
  private static final int LARGE_BODY_BYTES = 300_000;

  private static final int FILL_BYTES = (256 << 10) - 100;

  private final List<String> mismatches = new ArrayList<>();
  private final List<String> delivered = new ArrayList<>();
  private boolean idle;

  /** Results that are still awaited of checks whether the upstream is alive; null for none. */
  private List<Consumer<Boolean>> pendingChecks;

  /** Records what would be delivered to the caller. */
  private class Receiver implements ResponseAssembler.Receiver {
    private boolean done;

    @Override
    public boolean isDone(ResponseAssembler response) {
      return done;
    }

    @Override
    public void headReceived(ResponseHeaders headers) {}

    @Override
    public void bytesReceived() {}

    @Override
    public void connectFailed(Throwable cause) {
      throw new AssertionError(cause);
    }

    @Override
    public void eventsReceived(
        ResponseAssembler response, ByteBuf events, int count, String lastEventId) {
      delivered.add(events.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void bodyInvalid(String cause) {
      end("failed");
    }

    @Override
    public void bodyPartReceived(ResponseAssembler response, ByteBuf part) {
      delivered.add(part.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void streamEnded(ResponseAssembler response, boolean insideEvent) {
      end(insideEvent ? "failed" : "ended");
    }

    @Override
    public void responseCompleted(ResponseAssembler response, ByteBuf body) {
      end(response.status().code() + " " + body.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void connectionBroken(Throwable cause, boolean endedByUpstream) {
      end("failed");
    }

    private void end(String outcome) {
      done = true;
      delivered.add(outcome);
    }
  }

  private final class Owner implements UpstreamConnection.Owner {
    @Override
    public void connectionIdle(UpstreamConnection connection) {
      idle = true;
    }

    @Override
    public void connectionClosed(UpstreamConnection connection) {}

    @Override
    public void responseMismatched(String detail) {
      mismatches.add(detail);
    }

    @Override
    public void checkAlive(Consumer<Boolean> result) {
      if (pendingChecks == null) {
        result.accept(true);
      } else {
        pendingChecks.add(result);
      }
    }
  }

  private final ResponseMemory memory =
      new ResponseMemory(Long.MAX_VALUE, used -> usedBytes = used, new EventLog("n"));
  private long usedBytes;

  /** A connection and the bytes that its upstream sends. */
  private final class Link {
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);
    private final UpstreamConnection connection =
        new UpstreamConnection(new FakeHeaderCodec(), new Owner(), decoder, channel);

    private UpstreamConnection.PendingRequest pending;

    Link() {
      channel.pipeline().addLast(connection);
    }

    void send(String requestId, boolean streaming) {
      send(requestId, new Receiver(), streaming);
    }

    void sendHead(String requestId) {
      send(HttpMethod.HEAD, requestId, new Receiver(), false);
    }

    void send(String requestId, Receiver receiver, boolean streaming) {
      send(HttpMethod.GET, requestId, receiver, streaming);
    }

    private void send(HttpMethod method, String requestId, Receiver receiver, boolean streaming) {
      pending =
          connection.send(
              new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/"),
              Unpooled.buffer(),
              requestId,
              new ResponseAssembler(
                  "request=" + requestId,
                  receiver,
                  streaming,
                  null,
                  new EmbeddedResponse(new FakeHeaderCodec()),
                  memory));
    }

    /** Has the body of the next request wait as it does if the upstream does not read it. */
    ChannelPromise[] holdBody() {
      ChannelPromise[] held = new ChannelPromise[1];
      channel
          .pipeline()
          .addFirst(
              new ChannelOutboundHandlerAdapter() {
                @Override
                public void write(ChannelHandlerContext ctx, Object part, ChannelPromise promise) {
                  held[0] = promise;
                  ReferenceCountUtil.release(part);
                }
              });
      return held;
    }

    void receive(String bytes) {
      if (channel.isActive()) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
      }
    }
  }

  private void reset() {
    mismatches.clear();
    delivered.clear();
    idle = false;
  }

  private static String response(int status, String headerLines, String body) {
    return "HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(status, headerLines, body.length(), body);
  }

  private static String sealed(int status, String id) {
    return response(
        status,
        "id: " + id + "\r\nseal: " + status + "\r\n",
        (status + " ").repeat(BODY_BYTES / 4));
  }

  @DataProvider
  public Object[][] pairs() {
    return new Object[][] {
      {sealed(500, "own"), sealed(200, "own")},
      {sealed(200, "own"), sealed(500, "own")},
      {sealed(200, "own"), sealed(200, "earlier")},
    };
  }

  /**
   * Guards against a response that was cut anywhere and is completed by the next one: status, seal
   * and body would be of two responses.
   */
  @Test(dataProvider = "pairs")
  public void responsesThatRunTogetherAreNotDelivered(String cutResponse, String nextResponse) {
    for (int cut = 1; cut < cutResponse.length(); cut++) {
      reset();
      Link link = new Link();
      link.send("earlier", false);
      link.receive(sealed(200, "earlier"));
      delivered.clear();
      link.send("own", false);
      link.receive(cutResponse.substring(0, cut));
      link.receive(nextResponse);

      assertEquals(delivered, List.of("failed"), "cut after " + cut + " bytes");
      assertFalse(link.channel.isActive(), "cut after " + cut + " bytes");
    }
  }

  /** Guards against the head of a second response within an event of a stream. */
  @Test
  public void secondResponseIsNoPartOfAStream() {
    reset();
    Link link = new Link();
    link.send("own", true);
    link.receive("HTTP/1.1 200 OK\r\nid: own\r\nseal: s\r\n\r\nid: 1\ndata: x\n\nid: 2\nda");
    link.receive(sealed(500, "own"));

    assertEquals(delivered, List.of("id: 1\ndata: x\n\n", "failed"));
  }

  /** Guards against a second response without identifier that is part of one without a length. */
  @Test
  public void sealedHeadIsNoPartOfABody() {
    reset();
    Link link = new Link();
    link.send("own", false);
    link.receive("HTTP/1.1 200 OK\r\nid: own\r\nseal: s\r\n\r\nbody");
    link.receive(response(500, "seal: s\r\n", "failure"));
    link.channel.close().syncUninterruptibly();

    assertEquals(delivered, List.of("failed"));
  }

  /** Guards against failing responses whose body speaks of HTTP. */
  @Test
  public void bodyMayNameAStatusLine() {
    for (String body :
        List.of(
            "{\"line\":\"HTTP/1.1 200 OK\"}",
            "HTTP/1.1 500 X",
            "HTTP/1.1 200 OK\r\nServer: x\r\n\r\nexample")) {
      reset();
      Link link = new Link();
      link.send("own", false);
      link.receive(response(200, "id: own\r\nseal: s\r\n", body));

      assertEquals(delivered, List.of("200 " + body));
      assertTrue(idle);
    }
  }

  /** Guards against waiting for a better response than one whose request is unknown. */
  @Test
  public void responseWithoutKnownRequestFailsThePendingOne() {
    for (String identity : List.of("", "id: never-sent\r\n", "id: own\r\nid: never-sent\r\n")) {
      reset();
      Link link = new Link();
      link.send("own", false);
      link.receive(response(500, identity + "seal: s\r\n", "failure"));
      link.receive(sealed(200, "own"));

      assertEquals(delivered, List.of("failed"), identity);
      assertEquals(mismatches.size(), 1, identity);
      assertTrue(mismatches.get(0).contains(" carried=1 request=own owner=UNKNOWN status=500 "));
    }
  }

  /** Guards against losing a response because a late one to an earlier request comes first. */
  @Test
  public void lateResponseToAnEarlierRequestIsSkipped() {
    reset();
    Link link = new Link();
    link.send("earlier", false);
    link.receive(sealed(500, "earlier"));
    delivered.clear();
    link.send("own", false);
    link.receive(sealed(500, "earlier"));
    link.receive(response(200, "id: own\r\nseal: s\r\n", "own"));

    assertEquals(delivered, List.of("200 own"));
    assertTrue(mismatches.get(0).contains(" carried=2 request=own owner=EARLIER status=500 "));
    assertFalse(link.channel.isActive());
  }

  /** Guards against failing the next request because of bytes after a complete response. */
  @Test
  public void connectionWithBytesAfterAResponseIsNotUsedAgain() {
    for (String extra : List.of("x", "HTTP", "garbage\r\n", sealed(200, "own"))) {
      reset();
      Link link = new Link();
      link.send("own", false);
      link.receive(response(200, "id: own\r\nseal: s\r\n", "own") + extra);

      assertEquals(delivered, List.of("200 own"), extra);
      assertFalse(idle || link.channel.isActive(), extra);
    }
  }

  @DataProvider
  public Object[][] framings() {
    String head = "HTTP/1.1 200 OK\r\nid: own\r\nseal: s\r\n";
    String events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
    return new Object[][] {
      {head + "Content-Length: 5\r\n\r\n", "whole", false},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n", false},
      {head + "\r\n", "", false},
      {head + "Content-Length: 30\r\n\r\n", events, true},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "1e\r\n" + events + "\r\n0\r\n\r\n", true},
      {head + "\r\n", "", true},
    };
  }

  /** Guards against a success whose head or declared body is cut and that looks complete. */
  @Test(dataProvider = "framings")
  public void cutResponseIsNotComplete(String head, String body, boolean streaming) {
    String whole = head + body;
    for (boolean keptConnection : new boolean[] {false, true}) {
      for (int cut = 0; cut < whole.length(); cut++) {
        reset();
        Link link = new Link();
        if (keptConnection) {
          link.send("earlier", false);
          link.receive(sealed(200, "earlier"));
          delivered.clear();
        }
        link.send("own", streaming);
        link.receive(whole.substring(0, cut));
        link.channel.close().syncUninterruptibly();

        String place = "cut after " + cut + " bytes of " + whole;
        assertEquals(delivered.get(delivered.size() - 1), "failed", place);
        assertTrue(cut > head.length() || delivered.size() == 1, place);
      }
    }
  }

  /** Guards against a refusal of an earlier request that is taken for one of the pending one. */
  @Test
  public void refusalWithoutIdentifierCountsOnlyForTheFirstRequest() {
    reset();
    Link link = new Link();
    link.send("first", false);
    link.receive(response(503, "not-run: 1\r\n", ""));
    link.send("second", false);
    link.receive(response(503, "not-run: 1\r\n", ""));

    assertEquals(delivered, List.of("503 ", "failed"));
  }

  /**
   * Guards against losing a failure in the rest of a skipped response that was cut short, and
   * delivering the success after it.
   */
  @Test
  public void failureIsNotLostInASkippedResponse() {
    String failure = sealed(500, "own");
    for (String rest : List.of("", "\r\n")) {
      reset();
      Link link = new Link();
      link.send("earlier", false);
      link.receive(sealed(200, "earlier"));
      delivered.clear();
      link.send("own", false);
      String late = response(200, "id: earlier\r\nseal: 200\r\n", "x".repeat(failure.length()));
      link.receive(late.substring(0, late.length() - failure.length()));
      link.receive(failure + rest);
      link.receive(sealed(200, "own"));

      assertEquals(delivered, List.of("failed"));
    }
  }

  /** Guards against a second response that replaces one without a body while its end is checked. */
  @Test
  public void responseWithoutBodyIsNotReplacedByTheNextOne() {
    reset();
    pendingChecks = new ArrayList<>();
    Link link = new Link();
    link.send("own", false);
    link.receive("HTTP/1.1 304 Status\r\nid: own\r\nseal: s\r\n\r\n");
    link.receive(sealed(200, "own"));
    pendingChecks.forEach(check -> check.accept(true));
    pendingChecks = null;

    assertEquals(delivered, List.of("304 "));
    assertFalse(idle && link.channel.isActive());
  }

  /** Guards against waiting for the body that the response to a HEAD request describes. */
  @Test
  public void responseToHeadEndsWithItsHead() {
    reset();
    Link link = new Link();
    link.sendHead("own");
    link.receive("HTTP/1.1 200 Status\r\nid: own\r\nseal: s\r\nContent-Length: 800\r\n\r\n");
    assertEquals(delivered, List.of("200 "));
    assertTrue(idle);

    link.send("next", false);
    link.receive(response(200, "id: next\r\nseal: s\r\n", "next"));
    assertEquals(delivered, List.of("200 ", "200 next"));
  }

  /** Guards against waiting for a response after an upstream has left the protocol. */
  @Test
  public void upgradeFailsTheRequest() {
    reset();
    Link link = new Link();
    link.send("own", false);
    link.receive("HTTP/1.1 101 Status\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\nx");

    assertEquals(delivered, List.of("failed"));
    assertFalse(link.channel.isActive());
  }

  /** Guards against a head that is noticed only if one part of a large body holds it. */
  @Test
  public void headAcrossTwoPartsOfALargeBodyIsNoticed() {
    String failure = sealed(500, "own");
    for (int split = 1; split < failure.length() - BODY_BYTES; split++) {
      reset();
      Link link = new Link();
      link.send("own", false);
      link.receive(largeResponse(2 * LARGE_BODY_BYTES, ""));
      link.receive(failure.substring(0, split));
      link.receive(failure.substring(split));

      assertEquals(delivered.get(delivered.size() - 1), "failed", "split after " + split);
    }
  }

  /** Guards against failing a large body because a part of it ends within a quoted head. */
  @Test
  public void largeBodyMayQuoteAHeadAcrossParts() {
    String quoted = "HTTP/1.1 200 OK\r\nServer: x\r\nDate: y\r\n\r\n";
    String rest = "x".repeat(LARGE_BODY_BYTES);
    for (int split = 1; split < quoted.length(); split++) {
      reset();
      Link link = new Link();
      link.send("own", false);
      link.receive(largeResponse(FILL_BYTES + quoted.length() + rest.length(), ""));
      link.receive(quoted.substring(0, split));
      link.receive(quoted.substring(split) + rest);

      assertEquals(
          String.join("", delivered).replace("200 x", "x"),
          "x".repeat(FILL_BYTES) + quoted + rest,
          "split after " + split);
    }
  }

  /** Returns a response of which little less has arrived than is buffered. */
  private static String largeResponse(int length, String start) {
    return "HTTP/1.1 200 OK\r\nid: own\r\nseal: s\r\nContent-Length: "
        + length
        + "\r\n\r\n"
        + start
        + "x".repeat(FILL_BYTES - start.length());
  }

  /** How the connection of an early response without a length ends during the upload. */
  private enum UploadEnd {
    CLOSE_IS_SEEN_FIRST {
      @Override
      void end(EmbeddedChannel channel, ChannelPromise write) {
        channel.close().syncUninterruptibly();
        write.setFailure(reset());
      }
    },
    WRITE_FAILS_FIRST {
      @Override
      void end(EmbeddedChannel channel, ChannelPromise write) {
        write.setFailure(reset());
        channel.close().syncUninterruptibly();
      }
    },
    READ_FAILS {
      @Override
      void end(EmbeddedChannel channel, ChannelPromise write) {
        channel.pipeline().fireExceptionCaught(reset());
        channel.close().syncUninterruptibly();
        write.setFailure(reset());
      }
    };

    abstract void end(EmbeddedChannel channel, ChannelPromise write);

    private static IOException reset() {
      return new IOException("Connection reset by peer");
    }
  }

  @DataProvider
  public Object[] uploadEnds() {
    return UploadEnd.values();
  }

  /**
   * Guards against a part of a response without a length that is delivered as a whole one, since
   * the failed upload hides that the connection was reset.
   */
  @Test(dataProvider = "uploadEnds")
  public void responseThatIsResetDuringTheUploadIsNotDelivered(UploadEnd end) {
    reset();
    Link link = new Link();
    ChannelPromise[] write = link.holdBody();
    link.send("own", false);
    link.receive("HTTP/1.1 200 Status\r\nid: own\r\nseal: s\r\n\r\npart");
    end.end(link.channel, write[0]);
    link.channel.runPendingTasks();

    assertEquals(delivered, List.of("failed"));
  }

  /** Guards against passing on the rest of a body that was found invalid. */
  @Test
  public void nothingFollowsAnInvalidPartOfALargeBody() {
    List<String> calls = new ArrayList<>();
    Link link = new Link();
    Receiver receiver =
        new Receiver() {
          @Override
          public void bodyInvalid(String cause) {
            calls.add("invalid");
            link.connection.cancel(link.pending);
          }

          @Override
          public void bodyPartReceived(ResponseAssembler response, ByteBuf part) {
            calls.add("part");
          }
        };
    link.send("own", receiver, false);
    link.receive(largeResponse(2 * LARGE_BODY_BYTES, sealed(500, "own")));
    link.receive("x".repeat(LARGE_BODY_BYTES - FILL_BYTES));

    assertEquals(calls, List.of("invalid"));
  }
}
