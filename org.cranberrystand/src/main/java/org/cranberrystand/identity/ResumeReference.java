package org.cranberrystand.identity;

import java.util.Objects;

/**
 * Names the stream that carries the answer to a request, so that any node can fetch the rest.
 *
 * @param upstream the name of the engine that holds the stream
 * @param streamId the identifier of the stream on the engine
 * @param requestId the text form of the request identifier, which every event carries
 * @param shop the shop that may read the answer
 */
public record ResumeReference(String upstream, String streamId, String requestId, String shop) {

  /** Checks that no part is missing. */
  public ResumeReference {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(streamId, "streamId");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(shop, "shop");
  }
}
