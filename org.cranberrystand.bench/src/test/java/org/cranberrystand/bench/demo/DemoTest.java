package org.cranberrystand.bench.demo;

import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Guards against a request path that fails over real sockets. */
public class DemoTest {

  @Test(timeOut = 60_000)
  public void everyRequestIsAnsweredAndTheRepeatedReservationRunsOnce() throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    boolean passed = Demo.run(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    assertTrue(passed, bytes.toString(StandardCharsets.UTF_8));
  }
}
