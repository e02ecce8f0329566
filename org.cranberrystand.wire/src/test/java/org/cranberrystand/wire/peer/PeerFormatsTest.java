package org.cranberrystand.wire.peer;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class PeerFormatsTest {
  /** Guards against a node that an unreadable first report keeps out of a fleet of older nodes. */
  @Test
  public void unknownNodeGetsJson() {
    assertEquals(new PeerFormats().formatFor("10.0.0.1"), ReportFormat.JSON);
  }

  /** Guards against a format that survives the replacement of a node by another build. */
  @Test
  public void lastReportDecidesTheFormat() {
    PeerFormats formats = new PeerFormats();
    formats.received("10.0.0.1", ReportFormat.BINARY);
    assertEquals(formats.formatFor("10.0.0.1"), ReportFormat.BINARY);

    formats.received("10.0.0.1", ReportFormat.JSON);
    assertEquals(formats.formatFor("10.0.0.1"), ReportFormat.JSON);
  }
}
