package org.cranberrystand.audit;

import java.util.Objects;
import org.cranberrystand.event.LogEvent;

/**
 * Audit entry for one change on one node.
 *
 * @param node the name of the node
 * @param incarnation the ID of the incarnation of the node, in hexadecimal
 * @param sequence the sequence number among the entries of the incarnation, from 1 without gaps
 * @param time when the change occurred
 * @param event the type of the change
 * @param who the operator or system component that made the change
 * @param why the stated reason
 * @param what a description of the change
 */
public record AuditEntry(
    String node,
    String incarnation,
    long sequence,
    HybridTimestamp time,
    LogEvent event,
    String who,
    String why,
    String what)
    implements AuditRecord {

  /** Checks that no component is null. */
  public AuditEntry {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(time, "time");
    Objects.requireNonNull(event, "event");
    Objects.requireNonNull(who, "who");
    Objects.requireNonNull(why, "why");
    Objects.requireNonNull(what, "what");
  }
}
