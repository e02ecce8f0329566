package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the control messages of one node.
 *
 * <p>Bytes are those of both directions: bodies, and a fixed size for each HTTP head. Safe for use
 * by several threads.
 */
public final class ControlCost {
  /** Size of the head of a signed call between nodes, measured on the wire to within 20 bytes. */
  public static final int REQUEST_HEAD_BYTES = 330;

  /** Size of the head of a response, measured on the wire to within 20 bytes. */
  public static final int RESPONSE_HEAD_BYTES = 110;

  private final AtomicLong messages = new AtomicLong();
  private final AtomicLong bytes = new AtomicLong();
  private final AtomicLong platformCalls = new AtomicLong();

  void request(int bodyBytes) {
    messages.incrementAndGet();
    bytes.addAndGet(REQUEST_HEAD_BYTES + bodyBytes);
  }

  void response(int bodyBytes) {
    bytes.addAndGet(RESPONSE_HEAD_BYTES + bodyBytes);
  }

  void platformCall(int responseBytes) {
    platformCalls.incrementAndGet();
    request(0);
    response(responseBytes);
  }

  /**
   * Returns how many calls the node made and received.
   *
   * @return the number since the start
   */
  public long messages() {
    return messages.get();
  }

  /**
   * Returns how many bytes the node sent and received for control.
   *
   * @return the number since the start
   */
  public long bytes() {
    return bytes.get();
  }

  /**
   * Returns how many calls the node made to the configuration service and the VM list.
   *
   * @return the number since the start
   */
  public long platformCalls() {
    return platformCalls.get();
  }
}
