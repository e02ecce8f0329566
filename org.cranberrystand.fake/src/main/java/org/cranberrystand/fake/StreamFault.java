package org.cranberrystand.fake;

/**
 * Fault that a fake engine injects into one connection that carries a stream.
 *
 * @param type the fault
 * @param position the index of the event at which the fault happens; for {@link
 *     Type#CLOSE_AFTER_BYTES} the number of bytes
 */
public record StreamFault(Type type, int position) {
  /** No fault. */
  public static final StreamFault NONE = new StreamFault(Type.NONE, 0);

  /** Types of faults. */
  public enum Type {
    /** The stream is sent unchanged. */
    NONE,
    /** The connection is closed before the event is sent. */
    CLOSE_BEFORE_EVENT,
    /** The connection is closed after that number of bytes. */
    CLOSE_AFTER_BYTES,
    /** An event of another request with the expected index is sent before the event. */
    OTHER_REQUEST,
    /** The preceding event is sent again. */
    REPEATED_EVENT,
    /** The event is not sent. */
    MISSING_EVENT
  }
}
