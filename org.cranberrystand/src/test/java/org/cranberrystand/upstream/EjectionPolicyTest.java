package org.cranberrystand.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link EjectionPolicy}. */
public class EjectionPolicyTest {
  private static final long SECOND = 1_000_000_000L;

  /** Guards against a fault common to all upstreams that ejects the whole pool. */
  @Test
  public void numberOfEjectedUpstreamsIsCapped() {
    EjectionPolicy policy = new EjectionPolicy(1);
    int ejected = 0;
    for (int i = 0; i < 12; i++) {
      for (int failure = 0; failure < 5; failure++) {
        ejected += policy.failed("engine-" + i, 12, SECOND) ? 1 : 0;
      }
    }
    assertEquals(ejected, 4);
  }

  /** Guards against a readmitted upstream that receives its full load at once. */
  @Test
  public void readmissionIsGradual() {
    EjectionPolicy policy = new EjectionPolicy(1);
    for (int i = 0; i < 3; i++) {
      policy.failed("a", 12, SECOND);
    }
    assertEquals(policy.admittedFraction("a", 2 * SECOND), 0.0);
    double soon = policy.admittedFraction("a", 6 * SECOND);
    double later = policy.admittedFraction("a", 9 * SECOND);
    assertTrue(soon > 0 && soon < 0.5, "soon after: " + soon);
    assertTrue(later > soon && later < 1, "later: " + later);
    assertEquals(policy.admittedFraction("a", 60 * SECOND), 1.0);
  }

  /** Guards against the ejection of an upstream that succeeds between its failures. */
  @Test
  public void successBetweenFailuresPreventsEjection() {
    EjectionPolicy policy = new EjectionPolicy(1);
    for (int i = 0; i < 10; i++) {
      assertEquals(policy.failed("a", 12, i * SECOND), false);
      policy.succeeded("a");
    }
  }
}
