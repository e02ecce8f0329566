package org.cranberrystand.daemon.internal;

import com.google.common.hash.Hashing;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.wire.http.CompletionRequest;

/**
 * A parsed and validated request of a caller.
 *
 * @param id the identifier
 * @param idText the identifier in text form
 * @param kind the kind of work
 * @param poolType the type of pool that serves the request
 * @param shop the shop that sent the request
 * @param body the body
 * @param completion the parsed body of a model request; null for plain services
 * @param deadlineMillis the time from arrival within which the first token must be sent to be
 *     useful
 */
record IncomingRequest(
    RequestId id,
    String idText,
    WorkKind kind,
    PoolType poolType,
    Shop shop,
    RequestBody body,
    CompletionRequest completion,
    long deadlineMillis) {

  /**
   * Returns the digest that identifies the content of the request, also when it is sent again.
   *
   * @return the SHA-256 digest of kind and body in hexadecimal
   */
  String contentDigest() {
    return Hashing.sha256()
        .newHasher()
        .putUnencodedChars(kind.name())
        .putChar('\n')
        .putBytes(body.bytes())
        .hash()
        .toString();
  }

  /**
   * Returns whether the answer is an event stream.
   *
   * @return false for plain services and for model requests with {@code "stream": false}
   */
  boolean isStreamed() {
    return completion != null && completion.stream();
  }
}
