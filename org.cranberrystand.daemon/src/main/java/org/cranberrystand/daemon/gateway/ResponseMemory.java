package org.cranberrystand.daemon.gateway;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongConsumer;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;

/**
 * The memory that incomplete responses of all upstreams take together.
 *
 * <p>If it is spent, the response that takes most must give up memory, whichever response has
 * grown: sound ones are small. Used only on the event loop.
 */
final class ResponseMemory {
  private final MemoryBudget budget;
  private final LongConsumer usedListener;
  private final EventLog log;
  private final Set<Account> accounts = new HashSet<>();

  /** A response that takes memory. */
  interface Holder {
    /** Gives up memory: sends on what is buffered, or ends the response. */
    void memorySpent();
  }

  /**
   * Creates a memory of which nothing is used.
   *
   * @param limitBytes the limit in bytes
   * @param usedListener receives the memory in use whenever it changes, in bytes
   * @param log the event log
   */
  ResponseMemory(long limitBytes, LongConsumer usedListener, EventLog log) {
    this.budget = new MemoryBudget(limitBytes);
    this.usedListener = usedListener;
    this.log = log;
  }

  /** Returns an account of which nothing is used. */
  Account open(Holder holder) {
    return new Account(holder);
  }

  /** The memory that one response takes. */
  final class Account {
    private final Holder holder;
    private long usedBytes;

    private Account(Holder holder) {
      this.holder = holder;
    }

    long usedBytes() {
      return usedBytes;
    }

    /** Sets the memory that the response takes; 0 after its end. */
    void set(long bytes) {
      if (bytes == usedBytes) {
        return;
      }
      budget.release(usedBytes);
      budget.reserve(bytes);
      usedBytes = bytes;
      if (bytes > 0) {
        accounts.add(this);
      } else {
        accounts.remove(this);
      }
      usedListener.accept(budget.usedBytes());
    }
  }

  /** Writes to the log that a response ends because the memory is spent. */
  void logSpent(Account account, String name) {
    log.write(
        LogEvent.ANSWER_MEMORY_SPENT,
        name + " bytes=" + account.usedBytes() + " used_bytes=" + budget.usedBytes());
  }

  /** Has the responses that take most give up memory until the limit holds. */
  void enforce() {
    while (budget.isExceeded()) {
      Account largest =
          accounts.stream().max(Comparator.comparingLong(Account::usedBytes)).orElseThrow();
      long before = largest.usedBytes();
      largest.holder.memorySpent();
      if (largest.usedBytes() >= before) {
        log.write(LogEvent.TASK_FAILED, "task=response memory, none given up of bytes=" + before);
        largest.set(0);
      }
    }
  }
}
