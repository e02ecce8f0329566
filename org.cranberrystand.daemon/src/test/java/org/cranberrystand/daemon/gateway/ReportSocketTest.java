package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.DatagramSocket;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.membership.ReportScope;
import org.cranberrystand.membership.ReportedLoad;
import org.cranberrystand.membership.SharedObservations;
import org.testng.annotations.Test;

public final class ReportSocketTest {
  private static final String LOOPBACK = "127.0.0.1";

  private static int freePort() throws Exception {
    try (DatagramSocket socket = new DatagramSocket()) {
      return socket.getLocalPort();
    }
  }

  /** Guards against truncating and losing the aggregate reports of a large fleet on receipt. */
  @Test
  public void reportWithManyNodesArrivesWhole() throws Exception {
    ImmutableList.Builder<NodeInfo> others = ImmutableList.builder();
    for (int i = 0; i < 300; i++) {
      others.add(new NodeInfo("node-" + i, "10.0.0." + i, "10.0.0." + i + ":8221", true, 0.36));
    }
    PeerReport report =
        new PeerReport(
            new NodeInfo("n1", LOOPBACK, "c", true, 1),
            1,
            1,
            ReportScope.OTHER_CELLS,
            300,
            16,
            false,
            PublishedVersion.NONE,
            true,
            ReportedLoad.NONE,
            SharedObservations.NONE,
            others.build());
    BlockingQueue<PeerReport> received = new ArrayBlockingQueue<>(1);
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    ReportSocket socket =
        new ReportSocket(group.next(), freePort(), received::add, new EventLog("n1"));
    socket.open(LOOPBACK);
    group.next().submit(() -> socket.send(report, List.of(LOOPBACK))).get();

    assertEquals(received.poll(5, TimeUnit.SECONDS), report);
    socket.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).get();
  }
}
