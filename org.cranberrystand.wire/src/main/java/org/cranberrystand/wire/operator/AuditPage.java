package org.cranberrystand.wire.operator;

import java.util.List;
import org.cranberrystand.audit.AuditEntry;
import org.cranberrystand.audit.AuditMerge;

/**
 * Audit entries of one node.
 *
 * @param node the node that answers
 * @param incarnation its incarnation
 * @param known incarnations of all nodes that it has seen
 * @param entries its entries, in order of their sequence numbers
 */
public record AuditPage(
    String node,
    String incarnation,
    List<AuditMerge.IncarnationKey> known,
    List<AuditEntry> entries) {

  /** Copies the lists. */
  public AuditPage {
    known = known == null ? List.of() : List.copyOf(known);
    entries = entries == null ? List.of() : List.copyOf(entries);
  }
}
