package org.cranberrystand.wire.operator;

/**
 * Active bundle of one node and the published bundle.
 *
 * @param node the name of the responding node
 * @param version the version of the active bundle, or 0 if there is none
 * @param digest the digest of the active bundle, or an empty string
 * @param published the bundle in the configuration service; null if it was not requested
 */
public record RolloutReport(String node, long version, String digest, Published published) {

  /**
   * Bundle in the configuration service.
   *
   * @param state the result of reading it
   * @param version the version, or 0
   * @param digest the digest of the bundle, or an empty string
   * @param detail the reason for which it could not be read, or an empty string
   */
  public record Published(State state, long version, String digest, String detail) {}

  /** Result of reading the configuration service. */
  public enum State {
    /** There is a bundle, and this node accepts it. */
    VALID,
    /** There is a value that this node refuses. */
    INVALID,
    /** No bundle is published. */
    ABSENT,
    /** The configuration service could not be reached or responded with an error. */
    UNAVAILABLE
  }
}
