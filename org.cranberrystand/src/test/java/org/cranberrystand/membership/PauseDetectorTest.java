package org.cranberrystand.membership;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.cranberrystand.util.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link PauseDetector}. */
public class PauseDetectorTest {
  private ManualClock clock;
  private PauseDetector detector;

  @BeforeMethod
  void createDetector() {
    clock = new ManualClock(1);
    detector = new PauseDetector(clock, Duration.ofSeconds(1).toNanos());
  }

  /** Guards against a request that is dispatched between the end of a pause and the next tick. */
  @Test
  public void viewIsUncertainBeforeTheFirstTickAfterAPause() {
    clock.advance(Duration.ofSeconds(2));
    assertFalse(detector.isCertain());
    assertTrue(detector.tick());
    assertFalse(detector.isCertain());
    detector.confirm(detector.pauses());
    assertTrue(detector.isCertain());
  }

  /** Guards against a refresh from before a second pause that confirms the view after it. */
  @Test
  public void refreshThatBeganBeforeAnotherPauseConfirmsNothing() {
    clock.advance(Duration.ofSeconds(2));
    detector.tick();
    long begun = detector.pauses();
    clock.advance(Duration.ofSeconds(2));
    detector.tick();
    detector.confirm(begun);
    assertFalse(detector.isCertain());
  }

  /** Guards against refreshes without a pause. */
  @Test
  public void regularTicksKeepTheViewCertain() {
    for (int i = 0; i < 10; i++) {
      clock.advance(Duration.ofMillis(900));
      assertFalse(detector.tick());
      assertTrue(detector.isCertain());
    }
  }
}
