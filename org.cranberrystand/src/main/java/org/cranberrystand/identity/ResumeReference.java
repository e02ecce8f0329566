package org.cranberrystand.identity;

import java.util.Objects;

/**
 * Identifies the stream of an answer, so that any node can fetch the rest of the stream.
 *
 * @param upstream the name of the engine that provides the stream
 * @param streamId the identifier of the stream on the engine
 * @param requestId the text form of the request identifier, which every event of the stream carries
 * @param shop the shop that may read the answer
 */
public record ResumeReference(String upstream, String streamId, String requestId, String shop) {

  /** Checks that no component is null. */
  public ResumeReference {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(streamId, "streamId");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(shop, "shop");
  }
}
