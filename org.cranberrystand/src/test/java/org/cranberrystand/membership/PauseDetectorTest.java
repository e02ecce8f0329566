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

  /** Guards against a dispatch on a stale view between the end of a pause and the next tick. */
  @Test
  public void viewIsNotCurrentUntilRefreshedAfterAPause() {
    clock.advance(Duration.ofSeconds(2));
    assertFalse(detector.isViewCurrent());
    assertTrue(detector.tick());
    assertFalse(detector.isViewCurrent());
    detector.confirmRefresh(detector.pauseCount());
    assertTrue(detector.isViewCurrent());
  }

  /** Guards against a refresh that began before a second pause and confirms the view after it. */
  @Test
  public void refreshThatBeganBeforeAPauseDoesNotConfirmTheView() {
    clock.advance(Duration.ofSeconds(2));
    detector.tick();
    long pausesAtStart = detector.pauseCount();
    clock.advance(Duration.ofSeconds(2));
    detector.tick();
    detector.confirmRefresh(pausesAtStart);
    assertFalse(detector.isViewCurrent());
  }

  /** Guards against regular ticks that are detected as pauses. */
  @Test
  public void regularTicksKeepTheViewCurrent() {
    for (int i = 0; i < 10; i++) {
      clock.advance(Duration.ofMillis(900));
      assertFalse(detector.tick());
      assertTrue(detector.isViewCurrent());
    }
  }
}
