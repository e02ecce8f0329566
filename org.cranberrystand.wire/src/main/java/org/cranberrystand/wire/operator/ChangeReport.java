package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * Result of an operator command that changes state.
 *
 * @param node the name of the responding node
 * @param result what was done or, in a dry run, would be done
 * @param done whether the requested state is reached or, in a dry run, would be
 * @param dryRun whether this was a dry run, which changes nothing
 * @param findings the reasons for which the command was refused; empty if it was not
 */
public record ChangeReport(
    String node, String result, boolean done, boolean dryRun, List<String> findings) {

  /** Copies the list and replaces null by an empty list. */
  public ChangeReport {
    findings = findings == null ? List.of() : List.copyOf(findings);
  }
}
