package org.cranberrystand.identity;

/**
 * Identifier of a request.
 *
 * <p>Only the incarnation that issued the identifier may dispatch the request.
 *
 * @param issuer the incarnation that issued the identifier
 * @param sequence the sequence number among the identifiers of the incarnation, starting at 0
 */
public record RequestId(Incarnation issuer, long sequence) {

  /** Validates the sequence number. */
  public RequestId {
    if (sequence < 0) {
      throw new IllegalArgumentException("sequence must be at least 0 but is " + sequence);
    }
  }

  @Override
  public String toString() {
    return issuer.node()
        + "."
        + issuer.idText()
        + "."
        + Long.toString(sequence, Character.MAX_RADIX);
  }
}
