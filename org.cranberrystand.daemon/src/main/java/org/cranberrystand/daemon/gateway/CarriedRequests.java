package org.cranberrystand.daemon.gateway;

import com.google.common.hash.Hashing;
import java.util.Arrays;

/**
 * The requests that a connection has carried, to tell to which one a response belongs.
 *
 * <p>Only the last ones are kept. Not thread-safe.
 */
final class CarriedRequests {
  /** Extra responses come some seconds late, and a connection carries some ten requests in one. */
  private static final int MAX_KEPT = 256;

  private static final int INITIAL_CAPACITY = 4;

  /** Fingerprints of identifiers, in a ring once there are as many as are kept. */
  private long[] fingerprints = new long[INITIAL_CAPACITY];

  private int count;
  private String pendingId;

  /** Records a request that is about to be sent. */
  void add(String requestId) {
    pendingId = requestId;
    if (count == fingerprints.length && count < MAX_KEPT) {
      fingerprints = Arrays.copyOf(fingerprints, 2 * count);
    }
    fingerprints[count % MAX_KEPT] = fingerprint(requestId);
    count++;
  }

  int count() {
    return count;
  }

  /** Returns whether the connection has carried a request, as far as it is kept. */
  boolean contains(String requestId) {
    if (requestId == null) {
      return false;
    }
    long sought = fingerprint(requestId);
    for (int i = 0; i < Math.min(count, MAX_KEPT); i++) {
      if (fingerprints[i] == sought) {
        return true;
      }
    }
    return false;
  }

  private static long fingerprint(String requestId) {
    return requestId == null
        ? 0
        : Hashing.farmHashFingerprint64().hashUnencodedChars(requestId).asLong();
  }

  /** Returns to which request a response belongs. */
  ResponseOwner ownerOf(ResponseHeaders response) {
    String id = response.requestId();
    if (id == null) {
      // Some upstreams refuse before they have read the identifier.
      return response.notRun() && count == 1 ? ResponseOwner.PENDING : ResponseOwner.UNKNOWN;
    }
    if (id.equals(pendingId)) {
      return ResponseOwner.PENDING;
    }
    return contains(id) ? ResponseOwner.EARLIER : ResponseOwner.UNKNOWN;
  }
}
