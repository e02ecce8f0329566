package org.cranberrystand.audit;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;

/**
 * The last changes on one node, in a ring of fixed size.
 *
 * <p>Sequence numbers have no gaps and grow with the timestamps, so a reader can tell what it
 * missed. Safe for use by several threads; no lock is taken.
 */
public final class AuditTrail {

  private record Stamp(long sequence, HybridTimestamp time) {}

  private final Incarnation incarnation;
  private final HybridClock clock;
  private final AtomicReferenceArray<AuditEntry> ring;
  private final AtomicReference<Stamp> last =
      new AtomicReference<>(new Stamp(0, HybridTimestamp.ZERO));

  /**
   * Creates an empty trail.
   *
   * @param incarnation the incarnation that writes it
   * @param clock gives the time of each entry
   * @param capacity the number of entries kept, at least 1
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
   * @param event what sort of change it was
   * @param who the operator or the part of the system that made the change
   * @param why the reason given
   * @param what the change in this case
   * @return the entry
   */
  public AuditEntry append(LogEvent event, String who, String why, String what) {
    Stamp stamp = nextStamp();
    AuditEntry entry =
        new AuditEntry(
            incarnation.node(),
            incarnation.idText(),
            stamp.sequence(),
            stamp.time(),
            event,
            who,
            why,
            what);
    ring.accumulateAndGet(slot(entry.sequence()), entry, AuditTrail::newer);
    return entry;
  }

  /**
   * Returns the entries after a sequence number.
   *
   * <p>An entry that another thread is appending ends the list, so that a reader which continues
   * after the last entry returned misses none.
   *
   * @param sequence the last sequence number already read, or 0
   * @return the entries still kept, in order of their sequence numbers
   */
  public ImmutableList<AuditEntry> after(long sequence) {
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

  private Stamp nextStamp() {
    while (true) {
      Stamp previous = last.get();
      HybridTimestamp time = clock.tick();
      Stamp next = new Stamp(previous.sequence() + 1, time);
      if (time.compareTo(previous.time()) > 0 && last.compareAndSet(previous, next)) {
        return next;
      }
    }
  }

  private int slot(long sequence) {
    return (int) (sequence % ring.length());
  }

  private static AuditEntry newer(AuditEntry present, AuditEntry added) {
    return present == null || present.sequence() < added.sequence() ? added : present;
  }
}
