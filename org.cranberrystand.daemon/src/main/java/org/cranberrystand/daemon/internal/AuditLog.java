package org.cranberrystand.daemon.internal;

import org.cranberrystand.audit.AuditEntry;
import org.cranberrystand.audit.AuditTrail;
import org.cranberrystand.audit.HybridClock;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;

/**
 * Records changes in the audit trail and in the log.
 *
 * <p>Safe for use by several threads.
 */
public final class AuditLog {
  /** Name under which the node records changes that no operator made. */
  public static final String SYSTEM = "system";

  private static final int CAPACITY = 1024;

  private final EventLog log;
  private final HybridClock clock;
  private final AuditTrail trail;

  /**
   * Creates an empty audit log.
   *
   * @param incarnation the incarnation that writes it
   * @param log receives each entry as an event
   */
  public AuditLog(Incarnation incarnation, EventLog log) {
    this.log = log;
    this.clock = new HybridClock(System::currentTimeMillis);
    this.trail = new AuditTrail(incarnation, clock, CAPACITY);
  }

  /**
   * Records a change.
   *
   * @param event what sort of change it was
   * @param who the operator or the part of the system that made the change
   * @param why the reason given
   * @param what the change in this case, as {@code key=value} pairs
   * @return the entry
   */
  public AuditEntry write(LogEvent event, String who, String why, String what) {
    AuditEntry entry = trail.append(event, who, why, what);
    log.write(event, what + " who=" + who + " why=" + why + " audit=" + entry.sequence());
    return entry;
  }

  /**
   * Records a change whose event was already logged.
   *
   * @param event what sort of change it was
   * @param why the reason
   * @param what the change in this case, as {@code key=value} pairs
   */
  public void recordLogged(LogEvent event, String why, String what) {
    trail.append(event, SYSTEM, why, what);
  }

  public AuditTrail trail() {
    return trail;
  }

  /**
   * Returns the clock that orders the entries.
   *
   * @return the clock; calls between nodes carry its timestamps
   */
  public HybridClock clock() {
    return clock;
  }
}
