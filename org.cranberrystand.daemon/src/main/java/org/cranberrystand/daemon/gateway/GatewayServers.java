package org.cranberrystand.daemon.gateway;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;

/**
 * The HTTP listeners of a gateway other than the one for callers: directory, readiness, peers and
 * metrics. Thread-safe.
 *
 * <p>They share one thread of their own, so that they reply while the event loop of the gateway is
 * busy.
 */
final class GatewayServers implements AutoCloseable {
  /** No request to these listeners has a body. */
  private static final int MAX_BODY_BYTES = 1_024;

  /** The connections of a listener; a further one closes the one longest without a request. */
  static final int MAX_CONNECTIONS = 256;

  /** Frees the file descriptors of clients that keep connections without closing them. */
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  private final EventLoopGroup group =
      new NioEventLoopGroup(1, new DefaultThreadFactory("endpoints", true));
  private final EventLog log;

  GatewayServers(EventLog log) {
    this.log = log;
  }

  /** Returns the thread of the listeners, which clients may share. */
  EventLoopGroup group() {
    return group;
  }

  /**
   * Opens a listener.
   *
   * @param address the address to bind to
   * @param endpoint the only resource of the listener
   * @throws InterruptedException if the thread is interrupted
   */
  void open(HostAndPort address, HttpEndpoint endpoint) throws InterruptedException {
    OpenConnections connections = new OpenConnections();
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                connections.opened(channel);
                channel
                    .pipeline()
                    .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new EndpointHandler(endpoint, connections));
              }
            })
        .bind(new InetSocketAddress(address.getHost(), address.getPort()))
        .sync();
  }

  /** The open connections of a listener, the longest without a request first. */
  private static final class OpenConnections {
    private final Set<Channel> channels = new LinkedHashSet<>();

    void opened(Channel channel) {
      while (channels.size() >= MAX_CONNECTIONS) {
        Channel eldest = channels.iterator().next();
        channels.remove(eldest);
        eldest.close().isDone();
      }
      channels.add(channel);
      channel.closeFuture().addListener(closed -> channels.remove(channel));
    }

    void used(Channel channel) {
      if (channels.remove(channel)) {
        channels.add(channel);
      }
    }
  }

  private final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final HttpEndpoint endpoint;
    private final OpenConnections connections;

    EndpointHandler(HttpEndpoint endpoint, OpenConnections connections) {
      this.endpoint = endpoint;
      this.connections = connections;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      connections.used(ctx.channel());
      FullHttpResponse response = respond(request);
      HttpUtil.setContentLength(response, response.content().readableBytes());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keepAlive);
      ctx.writeAndFlush(response)
          .addListener(
              keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
    }

    private FullHttpResponse respond(FullHttpRequest request) {
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!request.decoderResult().isSuccess()) {
        return response(HttpResponseStatus.BAD_REQUEST);
      }
      if (!query.path().equals(endpoint.path())) {
        return response(HttpResponseStatus.NOT_FOUND);
      }
      if (!request.method().equals(HttpMethod.GET)) {
        return response(HttpResponseStatus.METHOD_NOT_ALLOWED);
      }
      try {
        HttpEndpoint.Reply reply = endpoint.handler().apply(query.parameters());
        FullHttpResponse response =
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                Unpooled.wrappedBuffer(reply.body()));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType().toString());
        return response;
      } catch (RuntimeException e) {
        log.write(LogEvent.TASK_FAILED, "task=endpoint path=" + endpoint.path(), e);
        return response(HttpResponseStatus.INTERNAL_SERVER_ERROR);
      }
    }

    private FullHttpResponse response(HttpResponseStatus status) {
      return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The client has disconnected or is idle; nothing depends on its connection.
      ctx.close().isDone();
    }
  }

  @Override
  public void close() throws InterruptedException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(1, TimeUnit.SECONDS);
  }
}
