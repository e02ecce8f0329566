package org.cranberrystand.dispatch;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.testng.annotations.Test;

public final class CrashRegisterTest {
  private static final long PRINT = 42;

  /** Guards against a request that crashes one upstream after the other at different nodes. */
  @Test
  public void crashesAtOtherNodesCount() {
    CrashRegister register = new CrashRegister();
    register.crashed(PRINT, 0);
    assertFalse(register.isRefused(PRINT, 0));

    register.setOthers(ImmutableMap.of(PRINT, 2));

    assertTrue(register.isRefused(PRINT, 0));
    assertFalse(register.isRefused(PRINT + 1, 0));
  }

  @Test
  public void answeredRequestIsCleared() {
    CrashRegister register = new CrashRegister();
    register.crashed(PRINT, 0);
    register.crashed(PRINT, 1);
    register.answered(PRINT);
    register.crashed(PRINT, 2);

    assertFalse(register.isRefused(PRINT, 2));
  }
}
