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
}
