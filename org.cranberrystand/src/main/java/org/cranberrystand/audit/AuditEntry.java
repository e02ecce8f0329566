package org.cranberrystand.audit;

import java.util.Objects;
import org.cranberrystand.event.LogEvent;

/**
 * One change on one node.
 *
 * @param node the node
 * @param incarnation the incarnation of the node
 * @param sequence the position among the entries of the incarnation, from 1 without gaps
 * @param time when it happened
 * @param event what sort of change it was
 * @param who the operator or the part of the system that made the change
 * @param why the reason given
 * @param what the change in this case
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
