package org.cranberrystand.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class SourceContactTest {
  private static final long HEARTBEAT = 1_200_000_000L;

  private SourceContact contact;

  @BeforeMethod
  public void beginContact() {
    contact = new SourceContact(HEARTBEAT, 0);
  }

  /** Guards against taking each failed call for an outage in which registrations expire. */
  @Test
  public void absenceBelowTwoHeartbeatsExpiresNothing() {
    assertFalse(contact.confirmed(2 * HEARTBEAT - 1));
    assertFalse(contact.mayHaveExpired(4 * HEARTBEAT - 2));
  }

  /** Guards against losing live upstreams after an outage that no failed call showed. */
  @Test
  public void silenceOfTwoHeartbeatsMayHaveExpiredRegistrations() {
    assertTrue(contact.mayHaveExpired(2 * HEARTBEAT));
    assertTrue(contact.confirmed(2 * HEARTBEAT));
    assertFalse(contact.mayHaveExpired(2 * HEARTBEAT));
    assertEquals(contact.silentNanos(3 * HEARTBEAT), HEARTBEAT);
    assertEquals(contact.harmlessNanos(3 * HEARTBEAT), HEARTBEAT);
  }

  /** Guards against a grace period after a partition while another node read the source. */
  @Test
  public void absenceThatAnotherNodeDidNotHaveIsNone() {
    contact.confirmed(HEARTBEAT);
    assertTrue(contact.confirmedSteady(8 * HEARTBEAT, 6 * HEARTBEAT));
    assertFalse(contact.mayHaveExpired(6 * HEARTBEAT));
    assertFalse(contact.confirmedSteady(8 * HEARTBEAT, 6 * HEARTBEAT), "there is no absence left");
  }

  /** Guards against a grace period that goes on because the own call succeeded first. */
  @Test
  public void absenceIsNoneIfAnotherNodeSaysSoAfterItsEnd() {
    contact.confirmed(HEARTBEAT);
    assertTrue(contact.confirmed(6 * HEARTBEAT));
    assertEquals(contact.steadyNanos(7 * HEARTBEAT), 0);
    assertTrue(contact.confirmedSteady(9 * HEARTBEAT, 7 * HEARTBEAT));
  }

  /**
   * Guards against losing live upstreams whose registrations expired in an outage that another node
   * saw end before this one did.
   */
  @Test
  public void absenceOfOtherNodesTooMayHaveExpiredRegistrations() {
    contact.confirmed(HEARTBEAT);
    assertFalse(contact.confirmedSteady(HEARTBEAT, 6 * HEARTBEAT));
    assertTrue(contact.confirmed(6 * HEARTBEAT));
    assertFalse(contact.confirmedSteady(6 * HEARTBEAT, 7 * HEARTBEAT));
  }

  /** Guards against a claim of a node that has just lost the source, or found it again. */
  @Test
  public void timeWithoutAnAbsenceBeginsAnewAfterOne() {
    contact.confirmed(HEARTBEAT);
    assertEquals(contact.steadyNanos(2 * HEARTBEAT), HEARTBEAT);
    assertEquals(contact.steadyNanos(3 * HEARTBEAT), 0);
    contact.confirmed(4 * HEARTBEAT);
    contact.confirmed(5 * HEARTBEAT);
    assertEquals(contact.steadyNanos(5 * HEARTBEAT), HEARTBEAT);
  }
}
