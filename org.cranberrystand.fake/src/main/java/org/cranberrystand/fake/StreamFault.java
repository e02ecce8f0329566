package org.cranberrystand.fake;

/**
 * What an engine does to one connection that carries a stream.
 *
 * @param type the fault
 * @param at the event, or for {@link Type#CUT_BYTES} the byte, at which it happens
 */
public record StreamFault(Type type, int at) {
  /** No fault. */
  public static final StreamFault NONE = new StreamFault(Type.NONE, 0);

  /** Sorts of faults. */
  public enum Type {
    /** The stream is sent as it should be. */
    NONE,
    /** The connection is closed before the event. */
    CUT_EVENTS,
    /** The connection is closed after so many bytes. */
    CUT_BYTES,
    /** An event of another request with the expected number comes first. */
    FOREIGN,
    /** The event before is sent again. */
    LATE,
    /** The event is left out. */
    SKIP
  }
}
