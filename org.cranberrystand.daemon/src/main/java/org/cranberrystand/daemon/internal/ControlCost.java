package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the control messages of one node.
 *
 * <p>Bytes are counted in both directions, as the size of the body plus a fixed size for each HTTP
 * head. Safe for use by several threads.
 */
public final class ControlCost {
  /** Size of the HTTP head of a signed call between nodes, accurate to 20 bytes. */
  public static final int REQUEST_HEAD_BYTES = 330;

  /** Size of the HTTP head of a response, accurate to 20 bytes. */
  public static final int RESPONSE_HEAD_BYTES = 110;

  private final AtomicLong messageCount = new AtomicLong();
  private final AtomicLong byteCount = new AtomicLong();
  private final AtomicLong platformCallCount = new AtomicLong();

  void countRequest(int bodyBytes) {
    messageCount.incrementAndGet();
    byteCount.addAndGet(REQUEST_HEAD_BYTES + bodyBytes);
  }

  void countResponse(int bodyBytes) {
    byteCount.addAndGet(RESPONSE_HEAD_BYTES + bodyBytes);
  }

  void countPlatformCall(int responseBytes) {
    platformCallCount.incrementAndGet();
    countRequest(0);
    countResponse(responseBytes);
  }

  /**
   * Returns the number of control calls that the node made and received.
   *
   * @return the number of calls since the start
   */
  public long messages() {
    return messageCount.get();
  }

  /**
   * Returns the number of bytes that the node sent and received in control calls.
   *
   * @return the number of bytes since the start
   */
  public long bytes() {
    return byteCount.get();
  }

  /**
   * Returns the number of calls that the node made to the configuration service and the VM list.
   *
   * @return the number of calls since the start
   */
  public long platformCalls() {
    return platformCallCount.get();
  }
}
