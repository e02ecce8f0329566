package org.cranberrystand.daemon.internal;

import org.cranberrystand.audit.AuditEntry;
import org.cranberrystand.audit.AuditTrail;
import org.cranberrystand.audit.HybridClock;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;

/**
 * Writes changes to the audit trail and to the event log.
 *
 * <p>Safe for use by several threads.
 */
public final class AuditLog {
  /** Value of {@code who} for changes that no operator made. */
  public static final String SYSTEM = "system";

  private static final int MAX_ENTRIES = 1024;

  private final EventLog log;
  private final HybridClock clock;
  private final AuditTrail trail;

  /**
   * Creates an empty audit log.
   *
   * @param incarnation the incarnation of the node that writes the log
   * @param log receives each entry as an event
   */
  public AuditLog(Incarnation incarnation, EventLog log) {
    this.log = log;
    this.clock = new HybridClock(System::currentTimeMillis);
    this.trail = new AuditTrail(incarnation, clock, MAX_ENTRIES);
  }

  /**
   * Records a change in the audit trail and logs it.
   *
   * @param event the type of the change
   * @param who the operator who made the change, or {@link #SYSTEM}
   * @param why the reason for the change
   * @param what the details of the change, as {@code key=value} pairs
   * @return the entry
   */
  public AuditEntry write(LogEvent event, String who, String why, String what) {
    AuditEntry entry = trail.append(event, who, why, what);
    log.write(event, what + " who=" + who + " why=" + why + " audit=" + entry.sequence());
    return entry;
  }

  /**
   * Records a change in the audit trail only, because its event is logged elsewhere.
   *
   * @param event the type of the change
   * @param why the reason for the change
   * @param what the details of the change, as {@code key=value} pairs
   */
  public void recordLogged(LogEvent event, String why, String what) {
    trail.append(event, SYSTEM, why, what);
  }

  public AuditTrail trail() {
    return trail;
  }

  /**
   * Returns the hybrid clock that timestamps the entries.
   *
   * @return the clock; calls between nodes carry its timestamps
   */
  public HybridClock clock() {
    return clock;
  }
}
