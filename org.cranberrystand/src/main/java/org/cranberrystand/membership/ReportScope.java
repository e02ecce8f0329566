package org.cranberrystand.membership;

/** The nodes whose load a report covers. */
public enum ReportScope {
  /** The sender alone; sent to the nodes of its cell. */
  NODE("n"),

  /** All nodes of the cell of the sender; sent by the head to the heads of the other cells. */
  CELL("c"),

  /** All nodes of the other cells; sent by the head of a cell to the nodes of its cell. */
  OTHER_CELLS("o");

  private final String code;

  ReportScope(String code) {
    this.code = code;
  }

  /**
   * Returns the code that stands for the scope in encoded reports.
   *
   * @return one letter
   */
  public String code() {
    return code;
  }

  /**
   * Returns the scope with a code.
   *
   * @param code one letter
   * @return the scope
   * @throws IllegalArgumentException if no scope has this code
   */
  public static ReportScope ofCode(String code) {
    for (ReportScope scope : values()) {
      if (scope.code.equals(code)) {
        return scope;
      }
    }
    throw new IllegalArgumentException("unknown scope \"" + code + "\" of a report");
  }
}
