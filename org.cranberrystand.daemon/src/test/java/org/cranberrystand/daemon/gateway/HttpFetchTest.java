package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Calls to the store, to other nodes and to upstreams. */
public final class HttpFetchTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private NioEventLoopGroup group;
  private ServerSocket server;

  @BeforeMethod
  public void startServer() throws IOException {
    group = new NioEventLoopGroup(1);
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  @AfterMethod(alwaysRun = true)
  public void stopServer() throws Exception {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).get();
  }

  /** Sends a call, of whose response the server sends the given bytes before it closes. */
  private CompletionStage<HttpFetch.Response> fetch(String sentBytes) throws IOException {
    CompletionStage<HttpFetch.Response> response =
        new HttpFetch(group)
            .get(URI.create("http://127.0.0.1:" + server.getLocalPort() + "/x"), TIMEOUT);
    try (Socket socket = server.accept()) {
      socket.getInputStream().read(new byte[1024]);
      socket.getOutputStream().write(sentBytes.getBytes(StandardCharsets.US_ASCII));
    }
    return response;
  }

  @DataProvider
  public Object[][] responses() {
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n"},
    };
  }

  /** Guards against a response that was cut and passes for a whole one. */
  @Test(dataProvider = "responses")
  public void cutResponseIsNoResponse(String response) throws Exception {
    assertEquals(get(response).body(), "{\"a\":1}");
    for (int cut = 0; cut < response.length(); cut++) {
      String sent = response.substring(0, cut);
      assertThrows(ExecutionException.class, () -> get(sent));
    }
  }

  @DataProvider
  public Object[] malformedResponses() {
    return new Object[] {
      "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nContent Length: 1\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000002\r\n{}\r\n0\r\n\r\n",
    };
  }

  /** Guards against bytes that are no HTTP and pass for an answer of the store or of a node. */
  @Test(dataProvider = "malformedResponses")
  public void malformedResponseIsNoResponse(String response) {
    assertThrows(ExecutionException.class, () -> get(response));
  }

  /** Guards against an exception in the middle of a caller that handles failed stages only. */
  @Test
  public void addressWithoutHostThrows() {
    CompletionStage<HttpFetch.Response> answer =
        new HttpFetch(group).get(URI.create("http://a_b:1/"), TIMEOUT);

    assertTrue(answer.toCompletableFuture().isCompletedExceptionally());
  }

  private HttpFetch.Response get(String sentBytes) throws Exception {
    return fetch(sentBytes).toCompletableFuture().get(5, TimeUnit.SECONDS);
  }
}
