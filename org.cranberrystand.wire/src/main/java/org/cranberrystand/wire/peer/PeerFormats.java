package org.cranberrystand.wire.peer;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The formats that other nodes read, by the address of their VMs. Not thread-safe.
 *
 * <p>During a rolling replacement, nodes of two builds report to each other. A node that was never
 * heard, or whose last report shows that it reads JSON only, gets JSON. Designed for 460 nodes.
 */
public final class PeerFormats {
  /** Bounds the memory if datagrams have forged senders. */
  private static final int MAX_HOSTS = 4_096;

  private final Map<String, ReportFormat> formats =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ReportFormat> eldest) {
          return size() > MAX_HOSTS;
        }
      };

  /**
   * Records the format that a node reads, as stated by its last message.
   *
   * @param host the address of its VM
   * @param format the format
   */
  public void received(String host, ReportFormat format) {
    formats.put(host, format);
  }

  /**
   * Returns the format in which to send to a node.
   *
   * @param host the address of its VM
   * @return a format that the node reads
   */
  public ReportFormat formatFor(String host) {
    return formats.getOrDefault(host, ReportFormat.JSON);
  }
}
