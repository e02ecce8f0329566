package org.cranberrystand.daemon.internal;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.net.UnknownHostException;
import ratpack.server.ServerConfig;

/** The configuration that all Ratpack listeners of a process share. */
public final class ListenerConfig {
  private ListenerConfig() {}

  /**
   * Creates the configuration of a listener.
   *
   * @param address where it listens
   * @param threads how many threads serve it
   * @param maxBodyBytes the largest body that it takes
   * @return the configuration
   * @throws UnknownHostException if the host of the address is unknown
   */
  public static ServerConfig of(HostAndPort address, int threads, int maxBodyBytes)
      throws UnknownHostException {
    return ServerConfig.builder()
        .address(InetAddress.getByName(address.getHost()))
        .port(address.getPort())
        .development(false)
        // The programs install handlers of their own, which drain before they stop the listeners.
        .registerShutdownHook(false)
        .threads(threads)
        .maxContentLength(maxBodyBytes)
        .build();
  }
}
