package org.cranberrystand.bench.failure;

import java.net.http.HttpHeaders;

/** Answer as a caller saw it; {@code ended} is false if the connection broke before its end. */
record Answer(int status, HttpHeaders headers, String body, boolean ended) {

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
    return ended && body.contentEquals(expected);
  }
}
