package org.cranberrystand.audit;

/** One line of a merged audit trail: a change, or a mark for entries that are not available. */
public sealed interface AuditRecord permits AuditEntry, AuditLoss {

  /**
   * Returns the node that wrote the entry or whose entries are lost.
   *
   * @return the name of the node
   */
  String node();
}
