import java.nio.file.Path;

/** Plays one case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
public final class Cases {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  private Cases() {}

  /** A case with or without its disruption. */
  private interface Play {
    boolean play(Record record, boolean trouble) throws Exception;
  }

  /** Thrown if a case cannot run. */
  static final class NotRunException extends Exception {
    private static final long serialVersionUID = 1L;

    NotRunException(String message) {
      super(message);
    }
  }

  /** Arguments: the name of the case and the file of its record. */
  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = NOT_RUN;
    try {
      Record record = new Record(Path.of(arguments[1]));
      Play play = switch (arguments[0]) {
        case "stop" -> StopCase::play;
        case "odd-entry" -> OddEntryCase::play;
        case "crash" -> CrashCase::play;
        case "large-entries" -> LargeEntriesCase::play;
        case "teams" -> TeamsCase::play;
        default -> throw new NotRunException("unknown case " + arguments[0]);
      };
      boolean held = play.play(record, trouble);
      record.write("the rule %s", held ? "held" : "was broken");
      code = held ? HELD : BROKEN;
    } catch (Exception e) {
      System.err.println("the case did not run: " + e);
    }
    System.exit(code);
  }
}
