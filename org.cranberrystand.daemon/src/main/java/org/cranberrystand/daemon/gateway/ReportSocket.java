package org.cranberrystand.daemon.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.Consumer;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.wire.peer.ReportExchange;

/** UDP socket for the reports between nodes. Used only on the event loop, except where stated. */
// A failed write loses a report, and the next report replaces it.
@SuppressWarnings("FutureReturnValueIgnored")
final class ReportSocket {
  /** The aggregate of a large fleet exceeds the default receive buffer of 2 KiB. */
  private static final int MAX_REPORT_BYTES = 65_507;

  private final EventLoop loop;
  private final int port;
  private final Consumer<PeerReport> receiver;
  private final EventLog log;
  private final ReportExchange exchange = new ReportExchange(this::write);
  private Channel channel;

  ReportSocket(EventLoop loop, int port, Consumer<PeerReport> receiver, EventLog log) {
    this.loop = loop;
    this.port = port;
    this.receiver = receiver;
    this.log = log;
  }

  /** Opens the socket; must not be called on the event loop. */
  void open(String host) throws InterruptedException {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_REPORT_BYTES))
            .handler(new Receiver())
            .bind(new InetSocketAddress(host, port))
            .sync()
            .channel();
  }

  /** Sends a single report to other VMs, to the port on which this node receives reports. */
  void send(PeerReport report, Collection<String> hosts) {
    exchange.send(report, hosts);
    channel.flush();
  }

  /** Sends the next of the frequent reports of its scope to other VMs. */
  void sendNext(PeerReport report, Collection<String> hosts) {
    exchange.sendNext(report, hosts, System.nanoTime());
    channel.flush();
  }

  private void write(byte[] bytes, String host) {
    channel.write(
        new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(host, port)));
  }

  void close() {
    channel.close();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        exchange
            .receive(
                ByteBufUtil.getBytes(packet.content()),
                packet.sender().getAddress().getHostAddress(),
                System.nanoTime())
            .ifPresent(receiver);
        channel.flush();
      } catch (IOException e) {
        log.write(LogEvent.REPORT_MALFORMED, "sender=" + packet.sender(), e);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // While the node on another VM restarts, its closed port shows up as an error here.
      log.write(LogEvent.REPORT_MALFORMED, "cause=" + cause);
    }
  }
}
