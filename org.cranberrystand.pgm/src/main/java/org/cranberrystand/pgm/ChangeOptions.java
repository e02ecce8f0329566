package org.cranberrystand.pgm;

import picocli.CommandLine.Option;

/** Options of commands that change something on a node. */
final class ChangeOptions {
  @Option(names = "--dry-run", description = "Say what would be done and change nothing.")
  private boolean dryRun;

  @Option(
      names = "--who",
      paramLabel = "NAME",
      defaultValue = "${sys:user.name}",
      description = "Who makes the change, for the audit trail. Default: ${DEFAULT-VALUE}.")
  private String who;

  @Option(
      names = "--why",
      paramLabel = "REASON",
      required = true,
      description = "Why the change is made, for the audit trail.")
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
