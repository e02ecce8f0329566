package org.cranberrystand.daemon.gateway;

/**
 * Memory that others decide on, which a node keeps for them up to a limit. Not thread-safe.
 *
 * <p>What is reserved must be released with the same size.
 */
final class MemoryBudget {
  private final long limitBytes;
  private long usedBytes;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param limitBytes the limit in bytes
   */
  MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves memory; returns false, and reserves none, if that would exceed the limit. */
  boolean tryReserve(long bytes) {
    if (usedBytes + bytes > limitBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Reserves memory that is already in use, also beyond the limit. */
  void reserve(long bytes) {
    usedBytes += bytes;
  }

  /** Releases memory that was reserved. */
  void release(long bytes) {
    usedBytes -= bytes;
  }

  /** Returns whether more is in use than the limit allows. */
  boolean isExceeded() {
    return usedBytes > limitBytes;
  }

  /** Returns the memory in use, in bytes. */
  long usedBytes() {
    return usedBytes;
  }
}
