package org.cranberrystand.identity;

/**
 * Identifier of one customer request.
 *
 * <p>Only the incarnation that issued it may dispatch the request.
 *
 * @param issuer the incarnation that issued the identifier
 * @param sequence the position among the identifiers of the incarnation, from 0
 */
public record RequestId(Incarnation issuer, long sequence) {

  /** Checks the sequence number. */
  public RequestId {
    if (sequence < 0) {
      throw new IllegalArgumentException("negative sequence: " + sequence);
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
