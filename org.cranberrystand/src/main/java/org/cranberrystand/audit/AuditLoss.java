package org.cranberrystand.audit;

/**
 * Mark for entries that existed, or may have existed, and are not available.
 *
 * @param node the node
 * @param incarnation the incarnation whose entries are missing
 * @param firstSequence the first missing sequence number
 * @param lastSequence the last missing sequence number, or 0 if it is not known
 * @param cause why they are missing
 */
public record AuditLoss(
    String node, String incarnation, long firstSequence, long lastSequence, Cause cause)
    implements AuditRecord {

  /** Why entries are missing. */
  public enum Cause {
    /** Newer entries took their place in the bounded trail. */
    OVERWRITTEN,
    /** The incarnation ended, and its trail with it. */
    NODE_REPLACED
  }
}
