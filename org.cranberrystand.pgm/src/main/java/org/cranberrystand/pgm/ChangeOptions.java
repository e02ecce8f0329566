package org.cranberrystand.pgm;

import picocli.CommandLine.Option;

/** Options of the commands that change the state of nodes. */
final class ChangeOptions {
  @Option(names = "--dry-run", description = "Report what would be done without changing anything.")
  private boolean dryRun;

  @Option(
      names = "--who",
      paramLabel = "NAME",
      defaultValue = "${sys:user.name}",
      description = "Operator name for the audit trail. Default: ${DEFAULT-VALUE}.")
  private String who;

  @Option(
      names = "--why",
      paramLabel = "REASON",
      required = true,
      description = "Reason of the change, for the audit trail.")
  private String why;

  boolean isDryRun() {
    return dryRun;
  }

  String who() {
    return who;
  }

  String why() {
    return why;
  }
}
