package org.cranberrystand.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link EngineWindow}. */
public class EngineWindowTest {
  private static final long MILLI = 1_000_000;
  private EngineWindow window;
  private long nowNanos;

  @BeforeMethod
  public void createWindow() {
    window = new EngineWindow(WindowSettings.DEFAULT, 0);
    nowNanos = 0;
  }

  private void decode(int requests, int gapMillis, int durationMillis) {
    for (int elapsed = 0; elapsed < durationMillis; elapsed += gapMillis) {
      nowNanos += gapMillis * MILLI;
      for (int i = 0; i < requests; i++) {
        window.tokensProduced(1, gapMillis * MILLI, nowNanos);
      }
      window.adjust(1, nowNanos);
    }
  }

  private void start(int requests) {
    for (int i = 0; i < requests; i++) {
      window.dispatched(100, 200, 100);
      nowNanos += 10 * MILLI;
      window.firstToken(100, 100, 10 * MILLI, nowNanos);
    }
  }

  private void end(int requests) {
    for (int i = 0; i < requests; i++) {
      window.ended(0, 200, 0, true);
    }
  }

  /** Guards against an engine that keeps its full window for seconds after it has slowed down. */
  @Test
  public void tenfoldSlowdownShrinksTheWindowToAFifthWithinTwoSeconds() {
    start(7);
    decode(7, 20, 3_000);
    double before = window.windowSequences();
    end(5);
    decode(2, 200, 2_000);
    assertTrue(
        window.windowSequences() <= 0.2 * before || window.freeSequences(1) == 0,
        before + " -> " + window.windowSequences());
    assertTrue(
        window.decodeTokensPerSecond() <= 0.2 * before / 0.02,
        "rate: " + window.decodeTokensPerSecond());
  }

  /** Guards against a stall that goes unnoticed because no token arrives. */
  @Test
  public void stalledEngineShrinksWithoutAnyToken() {
    start(7);
    decode(7, 20, 3_000);
    double before = window.windowSequences();
    for (int i = 0; i < 10; i++) {
      nowNanos += 200 * MILLI;
      window.adjust(1, nowNanos);
    }
    assertTrue(window.windowSequences() < before);
    assertFalse(window.admits(1, 100, 200, 1, nowNanos));
  }

  /** Guards against a window that grows although the node does not use it. */
  @Test
  public void unusedWindowDoesNotGrow() {
    double before = window.windowSequences();
    start(1);
    decode(1, 20, 5_000);
    assertEquals(window.windowSequences(), before);
  }

  /** Guards against a window that ignores requests waiting inside the engine. */
  @Test
  public void waitingRequestsInTheReportLimitTheWindow() {
    start(8);
    decode(8, 20, 5_000);
    assertTrue(window.windowSequences() > 10);
    window.reported(new LoadReport(nowNanos, 6, 10, 1_000, false));
    assertEquals(window.windowSequences(), 8.0);
  }

  /** Guards against requests sent to an engine during the retry delay that it asked for. */
  @Test
  public void refusalBlocksForTheRetryDelay() {
    window.refused(1_000, nowNanos);
    assertFalse(window.admits(1, 100, 200, 1, nowNanos + 900 * MILLI));
    assertTrue(window.admits(1, 100, 200, 1, nowNanos + 1_001 * MILLI));
  }
}
