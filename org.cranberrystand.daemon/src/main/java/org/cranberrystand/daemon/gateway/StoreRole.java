package org.cranberrystand.daemon.gateway;

import org.cranberrystand.membership.PeerTable;

/** How a node reads the store, by the nodes of its cell that read it before this one. */
enum StoreRole {
  /**
   * Reads the store with the least delay. Its watches are short, because a dead connection is
   * detected only at the end of a watch.
   */
  LEADING(2_000, 250),

  /**
   * Reads the store in addition to the leading reader, so that changes still arrive if that one
   * loses the store. The leading reader covers the failures that a long watch notices late.
   */
  SUPPLEMENTARY(10_000, 500),

  /** Receives changes from other nodes. Used only for a first list or while the store is lost. */
  PASSIVE(2_000, 500);

  private final int watchMillis;
  private final int pauseMillis;

  StoreRole(int watchMillis, int pauseMillis) {
    this.watchMillis = watchMillis;
    this.pauseMillis = pauseMillis;
  }

  /** Returns the role of a node, according to the latest reports of its cell. */
  static StoreRole of(PeerTable peers, long nowNanos) {
    if (peers.isStoreReadByOthers(nowNanos)) {
      return PASSIVE;
    }
    return peers.storeReadersAhead(nowNanos) == 0 ? LEADING : SUPPLEMENTARY;
  }

  /** Whether no other node reads the store in preference to this one. */
  boolean readsFirst() {
    return this == LEADING;
  }

  /** How long a watch waits for a change, in milliseconds. */
  int watchMillis() {
    return watchMillis;
  }

  /**
   * The pause after a watch that returned changes, in milliseconds. Heartbeats of upstreams change
   * the store many times per second; without a pause, each change costs a call. The pause and the
   * way to passive nodes (report and fetch, about 0.2 s) stay below the 1 s within which a
   * declaration takes effect.
   */
  int pauseMillis() {
    return pauseMillis;
  }
}
