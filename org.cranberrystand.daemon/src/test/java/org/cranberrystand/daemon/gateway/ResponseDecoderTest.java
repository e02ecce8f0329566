package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bytes that are no HTTP/1.1 response and are decoded as one. */
public final class ResponseDecoderTest {
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** What was decoded: the status and the body of the last response, or that it is malformed. */
  private static final class Decoded {
    private int status;
    private String body = "";
    private boolean complete;
    private boolean malformed;
  }

  /** Decodes bytes that arrive in pieces before the connection ends. */
  private static Decoded decode(String text, int pieceBytes) {
    EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
    Decoded decoded = new Decoded();
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    for (int start = 0; start < bytes.length; start += pieceBytes) {
      int length = Math.min(pieceBytes, bytes.length - start);
      channel.writeInbound(Unpooled.copiedBuffer(bytes, start, length));
      readAll(channel, decoded);
    }
    channel.finish();
    readAll(channel, decoded);
    return decoded;
  }

  private static void readAll(EmbeddedChannel channel, Decoded decoded) {
    for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
      decoded.malformed |= part.decoderResult().isFailure();
      if (part instanceof HttpResponse head) {
        decoded.status = head.status().code();
        decoded.body = "";
        decoded.complete = false;
      }
      if (part instanceof HttpContent content) {
        decoded.body += content.content().toString(StandardCharsets.ISO_8859_1);
      }
      decoded.complete |= part instanceof LastHttpContent;
      ReferenceCountUtil.release(part);
    }
  }

  private static String withLines(String lines) {
    return "HTTP/1.1 200 OK\r\n" + lines + "\r\nContent-Length: 2\r\n\r\nok";
  }

  private static String withStatusLine(String line) {
    return line + "\r\nContent-Length: 2\r\n\r\nok";
  }

  @DataProvider
  public Object[][] malformedHeads() {
    return new Object[][] {
      {withStatusLine("HTTP/1.1 000 X")},
      {withStatusLine("HTTP/1.1 001 X")},
      {withStatusLine("HTTP/1.1 099 X")},
      {withStatusLine("HTTP/1.1 00 X")},
      {withStatusLine("HTTP/1.1 0 X")},
      {withStatusLine("HTTP/1.1 20 X")},
      {withStatusLine("HTTP/1.1 1000 X")},
      {withStatusLine("HTTP/1.1 2000 X")},
      {withStatusLine("HTTP/1.1 600 X")},
      {withStatusLine("HTTP/1.1 999 X")},
      {withStatusLine("HTTP/1.1 0200 X")},
      {withStatusLine("HTTP/1.1 +200 X")},
      {withStatusLine("HTTP/1.1 2x0 X")},
      {withStatusLine("HTTP/1.1  200 X")},
      {withStatusLine("HTTP/1.1\t200 X")},
      {withStatusLine("HTTP/1.1 200\tX")},
      {withStatusLine("HTTP/2.0 200 X")},
      {withStatusLine("HTTP/0.9 200 X")},
      {withStatusLine("HTTP/1.2 200 X")},
      {withStatusLine("http/1.1 200 X")},
      {withStatusLine("ICY 200 X")},
      {withStatusLine("HTTP/1.1 200 a\u0001b")},
      {withStatusLine("HTTP/1.1 200 a\u0000b")},
      {withStatusLine("HTTP/1.1 200 a\rb")},
      {withLines("A: 1").replace("\r\n", "\n")},
      {CHUNKED + "2\nok\n0\n\n"},
      {withStatusLine("HTTP/1.1 200 a\u007fb")},
      {withStatusLine("x HTTP/1.1 200 X")},
      {"\r\n" + withLines("A: 1")},
      {" " + withLines("A: 1")},
      {"\u0000" + withLines("A: 1")},
      {withLines("X Odd: 1")},
      {withLines("X\tOdd: 1")},
      {withLines("Attempt Id: own")},
      {withLines("Content Length: 9")},
      {withLines("X\u0001: 1")},
      {withLines("\u0000X: 1")},
      {withLines("X\u007f: 1")},
      {withLines("X\u00e9: 1")},
      {withLines("X(: 1")},
      {withLines(": 1")},
      {withLines("NoColon")},
      {withLines("X Odd")},
      {withLines(" A: 1")},
      {withLines("A: a\u0000b")},
      {withLines("A: a\u0001b")},
      {withLines("A: a\rb")},
      {withLines("A: a\u007fb")},
      {withLines("Transfer-Encoding: xchunked")},
      {withLines("Transfer-Encoding: gzip, chunked")},
      {withLines("Transfer-Encoding: identity")},
      {withLines("Content-Length: 3")},
      {withLines("Content-Length: +2")},
      {"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
      {"HTTP/1.1 100 C\r\nX Odd: 1\r\n\r\n" + withLines("A: 1")},
    };
  }

  @DataProvider
  public Object[][] malformedChunks() {
    return new Object[][] {
      {CHUNKED + "2\u0001\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "100000002\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "80000002\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "+2\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "-2\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "0x2\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + " 2\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "2 x\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "2;a\u0000\r\nok\r\n0\r\n\r\n"},
      {CHUNKED + "2\rok\r\n0\r\n\r\n"},
      {CHUNKED + "2\r\nokay\r\n0\r\n\r\n"},
      {CHUNKED + "2\r\nok\rx\n0\r\n\r\n"},
      {CHUNKED + "2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n"},
      {CHUNKED + "2\r\nok\r\n0\r\nA: \u0001\r\n\r\n"},
      {CHUNKED + "2\r\nok\r\n0\r\n\rx"},
    };
  }

  @Test(dataProvider = "malformedHeads")
  public void malformedHeadIsDecoded(String response) {
    assertNotWhole(response);
  }

  @Test(dataProvider = "malformedChunks")
  public void malformedChunkIsDecoded(String response) {
    assertNotWhole(response);
  }

  private static void assertNotWhole(String response) {
    for (int pieceBytes : new int[] {1, 2, 7, response.length()}) {
      Decoded decoded = decode(response, pieceBytes);

      boolean isWhole = decoded.complete && !decoded.malformed;
      assertFalse(isWhole, decoded.status + " " + decoded.body + " in " + pieceBytes);
    }
  }

  @DataProvider
  public Object[][] soundResponses() {
    return new Object[][] {
      {withLines("A: 1"), 200},
      {withLines("A:"), 200},
      {withLines("A: \t b\u00e9\t"), 200},
      {withLines("a!#$%&'*+-.^_`|~9: 1"), 200},
      {withLines("A: 1\r\n b"), 200},
      {withLines("A : 1"), 200},
      {withStatusLine("HTTP/1.1 200"), 200},
      {withStatusLine("HTTP/1.1 200 "), 200},
      {withStatusLine("HTTP/1.0 599 a b\u00e9"), 599},
      {withStatusLine("HTTP/1.1 404 Not Found"), 404},
      {"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nA: 1\r\n\r\n" + withLines("A: 1"), 200},
      {withLines("A: 1") + withStatusLine("HTTP/1.1 503 X"), 503},
      {CHUNKED + "2\r\nok\r\n0\r\n\r\n", 200},
      {CHUNKED + "1\r\no\r\n1\r\nk\r\n00\r\n\r\n", 200},
      {CHUNKED + "02;a=\"b\"\r\nok\r\n0;c\r\nA: 1\r\nB: 2\r\n\r\n", 200},
      {CHUNKED + "2 \r\nok\r\n0\r\n\r\n", 200},
      {CHUNKED.replace("chunked", "Chunked ") + "2\r\nok\r\n0\r\n\r\n" + withLines("A: 1"), 200},
      {"HTTP/1.1 200 OK\r\nA: 1\r\n\r\nok", 200},
    };
  }

  /** Guards against a sound response that is refused, in whatever pieces it arrives. */
  @Test(dataProvider = "soundResponses")
  public void soundResponseIsRefused(String response, int status) {
    for (int pieceBytes = 1; pieceBytes <= response.length(); pieceBytes++) {
      Decoded decoded = decode(response, pieceBytes);

      assertFalse(decoded.malformed, "in pieces of " + pieceBytes);
      assertTrue(decoded.complete, "in pieces of " + pieceBytes);
      assertEquals(decoded.status, status);
      assertEquals(decoded.body, "ok");
    }
  }
}
