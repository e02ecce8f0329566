package org.cranberrystand.daemon.gateway;

/** The memory that the lines of a request's head take, in bytes. */
final class HeadCharge {
  /** The objects of a request without header lines. */
  static final int REQUEST_BYTES = 512;

  /** The entry of a header line and the objects of its name and value, without their characters. */
  static final int LINE_BYTES = 128;

  private HeadCharge() {}

  /** Returns the memory of a header line. */
  static int ofLine(int nameChars, int valueChars) {
    return LINE_BYTES + nameChars + valueChars;
  }
}
