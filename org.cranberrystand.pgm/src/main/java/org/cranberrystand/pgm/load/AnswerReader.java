package org.cranberrystand.pgm.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Reads one answer as it arrives. Used by one thread at a time. */
final class AnswerReader {
  private static final int STATUS_OK = 200;
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";

  private final boolean streaming;
  private final LoadRunner.Recorder recorder;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final ByteArrayOutputStream problem = new ByteArrayOutputStream();
  private int status;
  private int tokens;
  private boolean done;

  AnswerReader(boolean streaming, LoadRunner.Recorder recorder) {
    this.streaming = streaming;
    this.recorder = recorder;
  }

  void begin(int statusCode) {
    this.status = statusCode;
  }

  void accept(byte[] chunk) {
    if (status != STATUS_OK) {
      problem.writeBytes(chunk);
    } else if (!streaming) {
      if (tokens == 0) {
        tokens++;
        recorder.token();
      }
    } else {
      for (byte b : chunk) {
        if (b == '\n') {
          acceptLine(line.toString(StandardCharsets.UTF_8));
          line.reset();
        } else {
          line.write(b);
        }
      }
    }
  }

  int status() {
    return status;
  }

  int tokens() {
    return tokens;
  }

  byte[] problem() {
    return problem.toByteArray();
  }

  /**
   * Tells whether the answer is whole, provided that the connection did not break.
   *
   * @return false for a stream without its final event
   */
  boolean isComplete() {
    return status == STATUS_OK && (!streaming || done);
  }

  private void acceptLine(String text) {
    if (!text.startsWith(DATA)) {
      return;
    }
    if (text.substring(DATA.length()).strip().equals(DONE)) {
      done = true;
    } else {
      tokens++;
      recorder.token();
    }
  }
}
