package org.cranberrystand.wire.operator;

/**
 * Bundle in force on one node and bundle published.
 *
 * @param node the node that answers
 * @param version the version in force, or 0 if there is none
 * @param digest the digest of the content in force, or an empty string
 * @param published what the configuration service publishes; null if it was not asked
 */
public record RolloutReport(String node, long version, String digest, Published published) {

  /**
   * What the configuration service publishes.
   *
   * @param state whether it could be read
   * @param version the version, or 0
   * @param digest the digest of the content, or an empty string
   * @param detail why it could not be read, or an empty string
   */
  public record Published(State state, long version, String digest, String detail) {}

  /** Result of reading the configuration service. */
  public enum State {
    /** It publishes a bundle that this node trusts. */
    VALID,
    /** It publishes something that this node refuses. */
    INVALID,
    /** It publishes nothing. */
    ABSENT,
    /** It does not answer. */
    UNAVAILABLE
  }
}
