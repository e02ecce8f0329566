package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.cranberrystand.util.Finding;

/** Thrown when a command fails. Carries the exit code and the next step for the operator. */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int exitCode;
  private final String nextStep;
  private final transient ImmutableList<Finding> findings;

  private CommandException(
      int exitCode, String message, String nextStep, ImmutableList<Finding> findings) {
    super(message);
    this.exitCode = exitCode;
    this.nextStep = nextStep;
    this.findings = findings;
  }

  /**
   * Creates an exception for a failed command.
   *
   * @param message what failed
   * @param nextStep what the operator can do about it
   * @return the exception to throw
   */
  static CommandException failed(String message, String nextStep) {
    return new CommandException(ExitCode.FAILED, message, nextStep, ImmutableList.of());
  }

  /**
   * Creates an exception for invalid input.
   *
   * @param message what is invalid
   * @param nextStep what the operator can do about it
   * @return the exception to throw
   */
  static CommandException invalid(String message, String nextStep) {
    return new CommandException(ExitCode.INVALID, message, nextStep, ImmutableList.of());
  }

  /**
   * Creates an exception for an input file with errors.
   *
   * @param findings the errors in the file
   * @return the exception to throw
   */
  static CommandException invalid(List<Finding> findings) {
    return new CommandException(
        ExitCode.INVALID,
        findings.size() == 1 ? "1 finding" : findings.size() + " findings",
        "correct the lines listed above",
        ImmutableList.copyOf(findings));
  }

  int exitCode() {
    return exitCode;
  }

  String nextStep() {
    return nextStep;
  }

  ImmutableList<Finding> findings() {
    return findings;
  }
}
