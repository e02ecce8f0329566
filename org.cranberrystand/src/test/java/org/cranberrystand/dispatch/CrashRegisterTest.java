package org.cranberrystand.dispatch;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.testng.annotations.Test;

public final class CrashRegisterTest {
  private static final long FINGERPRINT = 42;

  /** Guards against a request that crashes upstreams one after another through different nodes. */
  @Test
  public void crashesAtOtherNodesCount() {
    CrashRegister register = new CrashRegister();
    register.crashed(FINGERPRINT, 0);
    assertFalse(register.isRefused(FINGERPRINT, 0));

    register.setPeerCounts(ImmutableMap.of(FINGERPRINT, 2));

    assertTrue(register.isRefused(FINGERPRINT, 0));
    assertFalse(register.isRefused(FINGERPRINT + 1, 0));
  }

  @Test
  public void answeredRequestIsCleared() {
    CrashRegister register = new CrashRegister();
    register.crashed(FINGERPRINT, 0);
    register.crashed(FINGERPRINT, 1);
    register.answered(FINGERPRINT);
    register.crashed(FINGERPRINT, 2);

    assertFalse(register.isRefused(FINGERPRINT, 2));
  }
}
