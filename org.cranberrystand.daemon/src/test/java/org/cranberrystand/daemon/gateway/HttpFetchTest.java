package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against a failure that a caller of the client does not expect. */
public final class HttpFetchTest {
  /** Guards against an exception in the middle of a caller that handles failed stages only. */
  @Test
  public void addressWithoutHostThrows() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try {
      CompletionStage<HttpFetch.Response> answer =
          new HttpFetch(group).get(URI.create("http://a_b:1/"), Duration.ofSeconds(1));
      assertTrue(answer.toCompletableFuture().isCompletedExceptionally());
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).get();
    }
  }
}
