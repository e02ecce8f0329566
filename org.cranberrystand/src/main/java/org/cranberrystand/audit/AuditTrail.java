package org.cranberrystand.audit;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;

/**
 * Most recent changes on one node, in a ring buffer of fixed size.
 *
 * <p>Sequence numbers have no gaps and increase with the timestamps, so a reader can detect missed
 * entries. Thread-safe and lock-free.
 */
public final class AuditTrail {

  private record Position(long sequence, HybridTimestamp time) {}

  private final Incarnation incarnation;
  private final HybridClock clock;
  private final AtomicReferenceArray<AuditEntry> ring;
  private final AtomicReference<Position> last =
      new AtomicReference<>(new Position(0, HybridTimestamp.ZERO));

  /**
   * Creates an empty trail.
   *
   * @param incarnation the incarnation that writes the trail
   * @param clock the clock that supplies the time of each entry
   * @param capacity the maximum number of entries, at least 1
   */
  public AuditTrail(Incarnation incarnation, HybridClock clock, int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be at least 1 but is " + capacity);
    }
    this.incarnation = incarnation;
    this.clock = clock;
    this.ring = new AtomicReferenceArray<>(capacity);
  }

  /**
   * Appends an entry.
   *
   * @param event the type of the change
   * @param who the operator or system component that made the change
   * @param why the stated reason
   * @param what a description of the change
   * @return the new entry
   */
  public AuditEntry append(LogEvent event, String who, String why, String what) {
    Position position = nextPosition();
    AuditEntry entry =
        new AuditEntry(
            incarnation.node(),
            incarnation.idText(),
            position.sequence(),
            position.time(),
            event,
            who,
            why,
            what);
    ring.accumulateAndGet(slot(entry.sequence()), entry, AuditTrail::newerOf);
    return entry;
  }

  /**
   * Returns the entries after a sequence number.
   *
   * <p>The list ends before the first entry that another thread is still appending, so that a
   * reader that continues after the last returned entry misses no entry.
   *
   * @param sequence the sequence number of the last entry already read, or 0
   * @return the entries still in the buffer, ordered by sequence number
   */
  public ImmutableList<AuditEntry> entriesAfter(long sequence) {
    long newest = last.get().sequence();
    ImmutableList.Builder<AuditEntry> entries = ImmutableList.builder();
    for (long next = Math.max(sequence, newest - ring.length()) + 1; next <= newest; next++) {
      AuditEntry entry = ring.get(slot(next));
      if (entry == null || entry.sequence() < next) {
        break;
      }
      if (entry.sequence() == next) {
        entries.add(entry);
      }
    }
    return entries.build();
  }

  private Position nextPosition() {
    while (true) {
      Position previous = last.get();
      HybridTimestamp time = clock.tick();
      Position next = new Position(previous.sequence() + 1, time);
      if (time.compareTo(previous.time()) > 0 && last.compareAndSet(previous, next)) {
        return next;
      }
    }
  }

  private int slot(long sequence) {
    return (int) (sequence % ring.length());
  }

  private static AuditEntry newerOf(AuditEntry present, AuditEntry added) {
    return present == null || present.sequence() < added.sequence() ? added : present;
  }
}
