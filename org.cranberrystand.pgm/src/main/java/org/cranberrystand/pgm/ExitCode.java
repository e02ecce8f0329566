package org.cranberrystand.pgm;

/** Exit codes of the tool. */
final class ExitCode {
  /** The command did what was asked. */
  static final int DONE = 0;

  /** The command failed, or the state asked about is not as wanted. */
  static final int FAILED = 1;

  /** The command line or an input file is invalid. */
  static final int INVALID = 2;

  /** The wanted state was not reached in time. */
  static final int TIMEOUT = 3;

  private ExitCode() {}
}
