package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.cranberrystand.util.Finding;

/** Failure of a command, with what the operator can do next. */
final class CommandFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int exitCode;
  private final String next;
  private final transient ImmutableList<Finding> findings;

  private CommandFailure(
      int exitCode, String message, String next, ImmutableList<Finding> findings) {
    super(message);
    this.exitCode = exitCode;
    this.next = next;
    this.findings = findings;
  }

  /**
   * Reports a failure.
   *
   * @param message what failed
   * @param next what to do next
   * @return an exception to throw
   */
  static CommandFailure failed(String message, String next) {
    return new CommandFailure(ExitCode.FAILED, message, next, ImmutableList.of());
  }

  /**
   * Reports invalid input.
   *
   * @param message what is invalid
   * @param next what to do next
   * @return an exception to throw
   */
  static CommandFailure invalid(String message, String next) {
    return new CommandFailure(ExitCode.INVALID, message, next, ImmutableList.of());
  }

  /**
   * Reports everything that is wrong with an input file.
   *
   * @param findings the findings
   * @return an exception to throw
   */
  static CommandFailure invalid(List<Finding> findings) {
    return new CommandFailure(
        ExitCode.INVALID,
        findings.size() == 1 ? "1 finding" : findings.size() + " findings",
        "correct the lines named above",
        ImmutableList.copyOf(findings));
  }

  int exitCode() {
    return exitCode;
  }

  String next() {
    return next;
  }

  ImmutableList<Finding> findings() {
    return findings;
  }
}
