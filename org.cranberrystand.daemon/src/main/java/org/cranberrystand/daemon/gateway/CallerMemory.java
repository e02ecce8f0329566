package org.cranberrystand.daemon.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Accounts for the memory that callers make a node keep, and decides whose requests are refused and
 * whose connections are closed if it is spent. Used only on the event loop.
 */
final class CallerMemory {
  /** A request that takes more counts as large. */
  static final long LARGE_REQUEST_BYTES = 64 << 10;

  /** The share of the budget that large requests may use; the rest is left for others. */
  private static final double LARGE_REQUEST_SHARE = 0.75;

  /** A caller that has read nothing for this time makes room for requests. */
  private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The connection of a caller. */
  interface Holder {
    /** Returns the memory of a request that is being received and has not been handed on. */
    long receivingBytes();

    /** Returns the memory of responses that the caller has not read. */
    long unsentBytes();

    /** Returns for how long the caller has read nothing of a response. */
    long stalledNanos(long nowNanos);

    /** Refuses the request that is being received, and releases its memory. */
    void refuseForMemory();

    /** Closes the connection, and releases its memory. */
    void closeForMemory();
  }

  private final MemoryBudget budget;
  private final long limitBytes;
  private final Collection<? extends Holder> holders;
  private final Executor executor;
  private boolean sheddingScheduled;
  private long refusedCount;
  private long closedCount;

  /**
   * Creates the account.
   *
   * @param limitBytes the limit in bytes
   * @param holders the open connections
   * @param executor runs tasks on the event loop
   */
  CallerMemory(long limitBytes, Collection<? extends Holder> holders, Executor executor) {
    this.budget = new MemoryBudget(limitBytes);
    this.limitBytes = limitBytes;
    this.holders = holders;
    this.executor = executor;
  }

  /**
   * Reserves memory for what a caller sends. Makes room for it by closing connections whose callers
   * do not read and by refusing larger requests that have not been handed on.
   *
   * @param requester the connection that needs the memory
   * @param bytes the size
   * @return false if the memory is not there, and the request must be refused
   */
  boolean tryReserve(Holder requester, long bytes) {
    long requestBytes = requester.receivingBytes() + bytes;
    long allowedBytes =
        requestBytes > LARGE_REQUEST_BYTES ? (long) (limitBytes * LARGE_REQUEST_SHARE) : limitBytes;
    while (budget.usedBytes() + bytes > allowedBytes) {
      if (!closeLongestStalled(STALLED_NANOS) && !refuseLargest(requester, requestBytes)) {
        refusedCount++;
        return false;
      }
    }
    budget.reserve(bytes);
    return true;
  }

  private boolean closeLongestStalled(long minNanos) {
    long now = System.nanoTime();
    Optional<? extends Holder> stalled =
        largest(
            holder -> holder.unsentBytes() > 0 && holder.stalledNanos(now) >= minNanos,
            Comparator.comparingLong(holder -> holder.stalledNanos(now)));
    stalled.ifPresent(
        holder -> {
          closedCount++;
          holder.closeForMemory();
        });
    return stalled.isPresent();
  }

  private boolean refuseLargest(Holder requester, long minBytes) {
    Optional<? extends Holder> refused =
        largest(
            holder -> holder != requester && holder.receivingBytes() > minBytes,
            Comparator.comparingLong(Holder::receivingBytes));
    refused.ifPresent(
        holder -> {
          refusedCount++;
          holder.refuseForMemory();
        });
    return refused.isPresent();
  }

  private Optional<? extends Holder> largest(
      Predicate<Holder> condition, Comparator<Holder> order) {
    return holders.stream().filter(condition).max(order);
  }

  /**
   * Accounts for a change of the unsent responses of a connection. If the budget is exceeded, makes
   * room later on the event loop, since the connection may be in the middle of a response.
   */
  void unsentChanged(long deltaBytes) {
    budget.reserve(deltaBytes);
    if (budget.isExceeded() && !sheddingScheduled) {
      sheddingScheduled = true;
      executor.execute(this::shed);
    }
  }

  private void shed() {
    sheddingScheduled = false;
    boolean found = true;
    while (budget.isExceeded() && found) {
      found =
          closeLongestStalled(STALLED_NANOS) || refuseLargest(null, 0) || closeLongestStalled(0);
    }
  }

  /** Releases memory that was reserved for what a caller sent. */
  void release(long bytes) {
    budget.release(bytes);
  }

  /** Returns the memory in use, in bytes. */
  long usedBytes() {
    return budget.usedBytes();
  }

  /** Returns how many requests were refused for want of memory. */
  long refusedCount() {
    return refusedCount;
  }

  /** Returns how many connections were closed because their callers did not read. */
  long closedCount() {
    return closedCount;
  }
}
