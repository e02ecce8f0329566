package org.cranberrystand.wire.operator;

import java.util.List;
import org.cranberrystand.audit.AuditEntry;
import org.cranberrystand.audit.AuditMerge;

/**
 * Page of the audit log of one node.
 *
 * @param node the name of the responding node
 * @param incarnation its incarnation
 * @param known the incarnations of all nodes that the responding node has seen
 * @param entries the entries, ordered by sequence number
 */
public record AuditPage(
    String node,
    String incarnation,
    List<AuditMerge.IncarnationKey> known,
    List<AuditEntry> entries) {

  /** Copies the lists and replaces null by empty lists. */
  public AuditPage {
    known = known == null ? List.of() : List.copyOf(known);
    entries = entries == null ? List.of() : List.copyOf(entries);
  }
}
