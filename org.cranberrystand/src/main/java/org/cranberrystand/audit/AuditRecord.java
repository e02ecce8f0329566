package org.cranberrystand.audit;

/** Element of a merged audit trail: an entry, or a placeholder for missing entries. */
public sealed interface AuditRecord permits AuditEntry, AuditLoss {

  /**
   * Returns the node that wrote the entry, or whose entries are missing.
   *
   * @return the name of the node
   */
  String node();
}
