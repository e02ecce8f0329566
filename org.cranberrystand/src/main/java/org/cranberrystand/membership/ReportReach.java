package org.cranberrystand.membership;

/** Which nodes the load in a report covers. */
public enum ReportReach {
  /** The sender alone; sent to its cell. */
  NODE("n"),

  /** The cell of the sender; sent by its head to the heads of the other cells. */
  CELL("c"),

  /** All other cells; sent by the head to its cell. */
  OTHERS("o");

  private final String code;

  ReportReach(String code) {
    this.code = code;
  }

  /**
   * Returns the short form in reports.
   *
   * @return one letter
   */
  public String code() {
    return code;
  }

  /**
   * Reads the short form.
   *
   * @param code one letter
   * @return the reach
   * @throws IllegalArgumentException if there is none with this letter
   */
  public static ReportReach ofCode(String code) {
    for (ReportReach reach : values()) {
      if (reach.code.equals(code)) {
        return reach;
      }
    }
    throw new IllegalArgumentException("unknown reach \"" + code + "\" of a report");
  }
}
