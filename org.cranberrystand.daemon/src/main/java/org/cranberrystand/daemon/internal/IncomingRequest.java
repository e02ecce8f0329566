package org.cranberrystand.daemon.internal;

import com.google.common.hash.Hashing;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.wire.http.CompletionRequest;

/**
 * A request that was read and checked.
 *
 * @param id the identifier
 * @param idText the text form of the identifier
 * @param kind the kind of work
 * @param poolType what serves it
 * @param shop the shop that sent it
 * @param body the body
 * @param completion the parsed body of a model request; null for plain services
 * @param deadlineMillis the time within which the first token is useful
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
   * Returns the digest by which the request is recognised when it is sent again.
   *
   * @return the digest of kind and body in hexadecimal
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
   * Tells whether the answer is an event stream.
   *
   * @return false for plain services and for model requests with {@code "stream": false}
   */
  boolean isStreamed() {
    return completion != null && completion.stream();
  }
}
