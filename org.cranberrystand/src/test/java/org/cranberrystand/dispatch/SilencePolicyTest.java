package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class SilencePolicyTest {
  private static PlacementChoice expecting(double firstMillis, double intervalMillis) {
    return new PlacementChoice(1, 4, 0, 0, firstMillis, intervalMillis, 2);
  }

  /**
   * Guards against running a long prompt twice because its prefill takes longer than the target.
   */
  @Test
  public void firstResponseMayTakeSeveralTimesItsEstimate() {
    assertEquals(SilencePolicy.firstResponseLimitMillis(400, 10_000, expecting(100, 20)), 600);
    assertEquals(SilencePolicy.firstResponseLimitMillis(400, 10_000, expecting(800, 20)), 2_000);
  }

  /** Guards against ending a stream that pauses for less than its route allows. */
  @Test
  public void streamMayPauseLongerThanItsGapTarget() {
    assertEquals(SilencePolicy.eventLimitMillis(250, 4_000, expecting(100, 20)), 900);
    assertEquals(SilencePolicy.eventLimitMillis(500, 4_000, expecting(100, 20)), 1_500);
    assertEquals(SilencePolicy.eventLimitMillis(0, 4_000, expecting(100, 150)), 1_200);
  }

  /** Guards against moving a request only after its caller has disconnected. */
  @Test
  public void silenceLeavesTimeForTheOtherUpstream() {
    assertEquals(SilencePolicy.firstResponseLimitMillis(400, 2_000, expecting(5_000, 20)), 1_000);
    assertEquals(SilencePolicy.eventLimitMillis(2_000, 4_000, expecting(100, 20)), 2_000);
  }
}
