package org.cranberrystand.pgm.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Parses the body of one answer incrementally and records its tokens. Not thread-safe. */
final class AnswerReader {
  private static final int STATUS_OK = 200;
  private static final String DATA_FIELD = "data:";
  private static final String FINAL_EVENT_DATA = "[DONE]";

  private final boolean streaming;
  private final LoadRunner.Recorder recorder;
  private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
  private final ByteArrayOutputStream problemBody = new ByteArrayOutputStream();
  private int status;
  private int tokens;
  private boolean finalEventReceived;

  AnswerReader(boolean streaming, LoadRunner.Recorder recorder) {
    this.streaming = streaming;
    this.recorder = recorder;
  }

  void setStatus(int statusCode) {
    this.status = statusCode;
  }

  void accept(byte[] chunk) {
    if (status != STATUS_OK) {
      problemBody.writeBytes(chunk);
    } else if (!streaming) {
      if (tokens == 0) {
        tokens++;
        recorder.recordToken();
      }
    } else {
      for (byte b : chunk) {
        if (b == '\n') {
          acceptLine(lineBuffer.toString(StandardCharsets.UTF_8));
          lineBuffer.reset();
        } else {
          lineBuffer.write(b);
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

  byte[] problemBody() {
    return problemBody.toByteArray();
  }

  /**
   * Tells whether the answer is complete, provided that the connection did not break.
   *
   * @return false after an error status or for a stream without its final event
   */
  boolean isComplete() {
    return status == STATUS_OK && (!streaming || finalEventReceived);
  }

  private void acceptLine(String text) {
    if (!text.startsWith(DATA_FIELD)) {
      return;
    }
    if (text.substring(DATA_FIELD.length()).strip().equals(FINAL_EVENT_DATA)) {
      finalEventReceived = true;
    } else {
      tokens++;
      recorder.recordToken();
    }
  }
}
