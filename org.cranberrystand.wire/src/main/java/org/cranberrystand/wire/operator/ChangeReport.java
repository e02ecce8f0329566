package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * Result of a command that changes something.
 *
 * @param node the node that answers
 * @param result what was done or, in a dry run, would be done
 * @param done whether the wanted state is reached or, in a dry run, would be
 * @param dryRun whether nothing was changed
 * @param findings why it was refused
 */
public record ChangeReport(
    String node, String result, boolean done, boolean dryRun, List<String> findings) {

  /** Copies the list. */
  public ChangeReport {
    findings = findings == null ? List.of() : List.copyOf(findings);
  }
}
