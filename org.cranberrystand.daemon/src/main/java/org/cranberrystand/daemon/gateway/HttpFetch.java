package org.cranberrystand.daemon.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.ByteArrayOutputStream;
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
   * Reads one response. Called by one thread.
   *
   * @param <T> what is read from the response
   */
  public interface ResponseReader<T> {
    /**
     * The head of the response was received.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     * @throws IOException if the response cannot be used
     */
    void begin(int status, HttpHeaders headers) throws IOException;

    /**
     * A part of the body was received.
     *
     * @param bytes the part, which is not changed later
     * @throws IOException if the response cannot be used
     */
    void read(byte[] bytes) throws IOException;

    /**
     * The response is complete.
     *
     * @return what was read
     * @throws IOException if the response cannot be used
     */
    T end() throws IOException;
  }

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
    return get(uri, timeout, new TextReader(maxBodyBytes));
  }

  /**
   * Sends a GET request, and reads the response as it arrives.
   *
   * @param <T> what is read from the response
   * @param uri the URI of the resource, with host and port
   * @param timeout the read timeout
   * @param reader reads the response
   * @return a stage with the result of the reader; completes exceptionally if there is no response,
   *     or with the exception that the reader throws
   */
  public <T> CompletionStage<T> get(URI uri, Duration timeout, ResponseReader<T> reader) {
    CompletableFuture<T> result = new CompletableFuture<>();
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
                    .addLast(new HttpRequestEncoder())
                    .addLast(new ResponseDecoder())
                    .addLast(new Receiver<>(uri, reader, result));
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

  /** Passes the response to its reader, and completes the result. */
  private static final class Receiver<T> extends SimpleChannelInboundHandler<HttpObject> {
    private final URI uri;
    private final ResponseReader<T> reader;
    private final CompletableFuture<T> result;

    Receiver(URI uri, ResponseReader<T> reader, CompletableFuture<T> result) {
      this.uri = uri;
      this.reader = reader;
      this.result = result;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) throws Exception {
      if (result.isDone()) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        fail(ctx, part.decoderResult().cause());
        return;
      }
      if (part instanceof HttpResponse head) {
        reader.begin(head.status().code(), head.headers());
      }
      if (part instanceof HttpContent content && content.content().isReadable()) {
        reader.read(ByteBufUtil.getBytes(content.content()));
      }
      if (part instanceof LastHttpContent) {
        result.complete(reader.end());
        ctx.close().isDone();
      }
    }

    private void fail(ChannelHandlerContext ctx, Throwable cause) {
      result.completeExceptionally(cause);
      ctx.close().isDone();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      result.completeExceptionally(new IOException("connection closed before a response: " + uri));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(ctx, cause);
    }
  }

  /** Reads a response as a whole, as text. */
  private static final class TextReader implements ResponseReader<Response> {
    private final int maxBodyBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HttpHeaders headers;

    TextReader(int maxBodyBytes) {
      this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void begin(int responseStatus, HttpHeaders responseHeaders) {
      status = responseStatus;
      headers = responseHeaders;
    }

    @Override
    public void read(byte[] bytes) throws IOException {
      if (body.size() + bytes.length > maxBodyBytes) {
        throw new IOException("response has more than " + maxBodyBytes + " bytes");
      }
      body.write(bytes);
    }

    @Override
    public Response end() {
      return new Response(status, headers, body.toString(StandardCharsets.UTF_8));
    }
  }
}
