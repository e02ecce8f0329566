package org.cranberrystand.bench.failure;

import java.net.http.HttpHeaders;

/**
 * Answer as received by the caller; {@code endedCleanly} is false if the connection broke early.
 */
record Answer(int status, HttpHeaders headers, String body, boolean endedCleanly) {

  String header(String name) {
    return headers.firstValue(name).orElse(null);
  }

  String outcome() {
    return header("Cranberrystand-Outcome");
  }

  boolean isCompleteStream(int tokens, String requestId) {
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      expected.append(
          "id: %d\ndata: {\"request\":\"%s\",\"text\":\"t%d \"}\n\n".formatted(i, requestId, i));
    }
    expected.append("id: %d\ndata: [DONE]\n\n".formatted(tokens));
    return endedCleanly && body.contentEquals(expected);
  }
}
