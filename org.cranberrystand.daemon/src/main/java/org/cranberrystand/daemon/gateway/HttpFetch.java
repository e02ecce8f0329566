package org.cranberrystand.daemon.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for the store and other nodes.
 *
 * <p>Each request opens its own connection, because requests are rare and a pooled connection may
 * be dead without notice. Thread-safe.
 */
public final class HttpFetch {
  private static final int MAX_BODY_BYTES = 32 << 20;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final EventLoopGroup group;

  /**
   * A response.
   *
   * @param status the HTTP status code
   * @param headers the response headers
   * @param body the response body
   */
  public record Response(int status, HttpHeaders headers, String body) {}

  /**
   * Creates a client.
   *
   * @param group executes the requests, and completes their stages
   */
  public HttpFetch(EventLoopGroup group) {
    this.group = group;
  }

  /**
   * Sends a GET request for a resource of at most 32 MiB.
   *
   * @param uri the URI of the resource, with host and port
   * @param timeout the read timeout
   * @return a stage with the response; completes exceptionally if there is none
   */
  public CompletionStage<Response> get(URI uri, Duration timeout) {
    return get(uri, timeout, MAX_BODY_BYTES);
  }

  /**
   * Sends a GET request.
   *
   * @param uri the URI of the resource, with host and port
   * @param timeout the read timeout
   * @param maxBodyBytes the length of the body beyond which the request fails, in bytes
   * @return a stage with the response; completes exceptionally if there is none
   */
  public CompletionStage<Response> get(URI uri, Duration timeout, int maxBodyBytes) {
    CompletableFuture<Response> result = new CompletableFuture<>();
    if (uri.getHost() == null) {
      result.completeExceptionally(new IOException("URI names no host: " + uri));
      return result;
    }
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new ReadTimeoutHandler(timeout.toMillis(), TimeUnit.MILLISECONDS))
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(maxBodyBytes))
                    .addLast(new Receiver(uri, result));
              }
            })
        .connect(new InetSocketAddress(uri.getHost(), uri.getPort()))
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connected
                    .channel()
                    .writeAndFlush(request(uri))
                    .addListener(
                        written -> {
                          if (!written.isSuccess()) {
                            result.completeExceptionally(written.cause());
                            connected.channel().close().isDone();
                          }
                        });
              } else {
                result.completeExceptionally(connected.cause());
              }
            });
    return result;
  }

  private static FullHttpRequest request(URI uri) {
    String query = uri.getRawQuery();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            query == null ? uri.getRawPath() : uri.getRawPath() + "?" + query,
            Unpooled.EMPTY_BUFFER);
    request
        .headers()
        .set(HttpHeaderNames.HOST, uri.getAuthority())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return request;
  }

  /** Completes the result with the response, or with the failure that came before it. */
  private static final class Receiver extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final URI uri;
    private final CompletableFuture<Response> result;

    Receiver(URI uri, CompletableFuture<Response> result) {
      this.uri = uri;
      this.result = result;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      if (response.decoderResult().isFailure()) {
        result.completeExceptionally(response.decoderResult().cause());
      } else {
        result.complete(
            new Response(
                response.status().code(),
                response.headers(),
                response.content().toString(StandardCharsets.UTF_8)));
      }
      ctx.close().isDone();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      result.completeExceptionally(new IOException("connection closed before a response: " + uri));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      result.completeExceptionally(cause);
      ctx.close().isDone();
    }
  }
}
