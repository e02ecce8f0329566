package org.cranberrystand.dispatch;

/**
 * How much a key of requests is suspected to crash upstreams. Where there is no room for all keys,
 * those of the lower ranks give way first.
 */
enum EvidenceRank {
  /** No crash without a later answer. */
  CLEARED,

  /** One crash, as any request has whose upstream is lost. */
  ONCE,

  /** Several crashes, which may still be a coincidence. */
  REPEATED,

  /** So many crashes that requests with the key are refused, or were before. */
  SUSPECTED;

  /**
   * Returns the rank of a key.
   *
   * @param crashCount the number of crashes that have no common cause
   * @param crashesToSuspect the number of crashes from which on the key is suspected
   */
  static EvidenceRank of(int crashCount, int crashesToSuspect) {
    if (crashCount >= crashesToSuspect) {
      return SUSPECTED;
    }
    return crashCount == 0 ? CLEARED : crashCount == 1 ? ONCE : REPEATED;
  }
}
