package org.cranberrystand.audit;

/**
 * Placeholder for missing audit entries, which existed or may have existed.
 *
 * @param node the name of the node
 * @param incarnation the ID of the incarnation whose entries are missing, in hexadecimal
 * @param firstSequence the first missing sequence number
 * @param lastSequence the last missing sequence number, or 0 if unknown
 * @param cause why the entries are missing
 */
public record AuditLoss(
    String node, String incarnation, long firstSequence, long lastSequence, Cause cause)
    implements AuditRecord {

  /** Reason why entries are missing. */
  public enum Cause {
    /** Newer entries overwrote them in the bounded trail. */
    OVERWRITTEN,
    /** The incarnation ended, and its trail was lost. */
    NODE_REPLACED
  }
}
