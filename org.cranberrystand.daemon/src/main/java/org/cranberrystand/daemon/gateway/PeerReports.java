package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableSet;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.wire.peer.PeerReportCodec;

/**
 * Sends the report of this node to all others by UDP, often while it changes, and receives theirs.
 * Used on the event loop only, except where stated.
 */
// A failed write or close ends the channel, which its handler is told of.
@SuppressWarnings("FutureReturnValueIgnored")
final class PeerReports {
  /** Placement by older reports lets several nodes take the same slot. */
  private static final long CHANGED_INTERVAL_NANOS = 90_000_000L;

  /** Several reports fit into the time after which a silent node does not count. */
  private static final long UNCHANGED_INTERVAL_NANOS = 290_000_000L;

  private final EventLoop loop;
  private final Supplier<PeerReport> own;
  private final Supplier<ImmutableSet<String>> targets;
  private final Consumer<PeerReport> receiver;
  private final EventLog log;
  private final int port;
  private Channel channel;
  private long sentNanos;
  private boolean changed;

  PeerReports(
      EventLoop loop,
      int port,
      Supplier<PeerReport> own,
      Supplier<ImmutableSet<String>> targets,
      Consumer<PeerReport> receiver,
      EventLog log) {
    this.loop = loop;
    this.port = port;
    this.own = own;
    this.targets = targets;
    this.receiver = receiver;
    this.log = log;
  }

  /** Opens the socket and starts sending; may be called on any thread but the event loop. */
  void open(String host) throws InterruptedException {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(new InetSocketAddress(host, port))
            .sync()
            .channel();
  }

  /** Notes that the report of this node has changed. */
  void markChanged() {
    changed = true;
  }

  /** Sends at once. */
  void sendNow() {
    sentNanos = System.nanoTime();
    changed = false;
    byte[] bytes = PeerReportCodec.encode(own.get());
    for (String host : targets.get()) {
      channel.write(
          new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(host, port)));
    }
    channel.flush();
  }

  /** Sends if it is due; to be called often. */
  void tick() {
    long age = System.nanoTime() - sentNanos;
    if (age >= UNCHANGED_INTERVAL_NANOS || (changed && age >= CHANGED_INTERVAL_NANOS)) {
      sendNow();
    }
  }

  void close() {
    channel.close();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        receiver.accept(PeerReportCodec.decode(ByteBufUtil.getBytes(packet.content())));
      } catch (IOException e) {
        log.write(LogEvent.REPORT_MALFORMED, "sender=" + packet.sender(), e);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // An unreachable port of a VM that restarts comes back as an error on the socket.
      log.write(LogEvent.REPORT_MALFORMED, "cause=" + cause);
    }
  }
}
