package org.cranberrystand.daemon.internal;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.net.UnknownHostException;
import ratpack.server.ServerConfig;

/** Creates the configuration of the Ratpack listeners of a process. */
public final class ListenerConfig {
  private ListenerConfig() {}

  /**
   * Creates the configuration of a listener.
   *
   * @param address the address to listen on
   * @param threads the number of threads
   * @param maxBodyBytes the maximum size of a request body in bytes
   * @return the configuration
   * @throws UnknownHostException if the host of the address cannot be resolved
   */
  public static ServerConfig of(HostAndPort address, int threads, int maxBodyBytes)
      throws UnknownHostException {
    return ServerConfig.builder()
        .address(InetAddress.getByName(address.getHost()))
        .port(address.getPort())
        .development(false)
        // The programs install their own signal handlers, which drain before stopping the
        // listeners.
        .registerShutdownHook(false)
        .threads(threads)
        .maxContentLength(maxBodyBytes)
        .build();
  }
}
