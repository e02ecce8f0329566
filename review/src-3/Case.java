package review3;

import java.io.IOException;

/** A case of the review. */
interface Case {
  /** Plays the case; returns whether the rule held. */
  boolean holds(Lab lab) throws IOException;
}
