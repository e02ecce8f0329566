package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Plays one case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 */
public final class Cases {
  private static final Map<String, Supplier<Case>> CASES =
      Map.of(
          "restarted-runner",
          RestartedRunnerCase::new,
          "many-versions",
          ManyVersionsCase::new,
          "raised-head-limit",
          RaisedLimitCase::ofHeads,
          "raised-body-limit",
          RaisedLimitCase::ofBodies);

  private Cases() {}

  /**
   * Plays a case.
   *
   * @param args the name of the case and the file for its record
   */
  public static void main(String[] args) {
    System.exit(play(CASES.get(args[0]).get(), Path.of(args[1])));
  }

  private static int play(Case played, Path recordFile) {
    try (Lab lab = new Lab(recordFile)) {
      lab.log("disruption " + (Lab.isUndisturbed() ? "left out" : "played"));
      boolean holds;
      try {
        holds = played.holds(lab);
      } catch (IOException | RuntimeException e) {
        lab.log("the case could not run: " + e);
        return 2;
      }
      lab.log(holds ? "rule held" : "rule broken");
      return holds ? 0 : 1;
    } catch (IOException e) {
      System.err.println("the case could not run: " + e);
      return 2;
    }
  }
}
