package org.cranberrystand.pgm;

/** Exit codes of the tool. */
final class ExitCode {
  /** The command succeeded. */
  static final int SUCCESS = 0;

  /** The command failed, or the checked state is not the expected one. */
  static final int FAILED = 1;

  /** The command line or an input file is invalid. */
  static final int INVALID = 2;

  /** The expected state was not reached before the timeout. */
  static final int TIMEOUT = 3;

  private ExitCode() {}
}
