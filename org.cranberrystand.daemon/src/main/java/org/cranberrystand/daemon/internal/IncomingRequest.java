package org.cranberrystand.daemon.internal;

import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.identity.RequestId;

/**
 * A request that was read and checked.
 *
 * @param id the identifier
 * @param kind the kind of work
 * @param poolType what serves it
 * @param shop the shop that sent it
 * @param body the body
 * @param deadlineMillis the time within which the first token is useful
 */
record IncomingRequest(
    RequestId id,
    WorkKind kind,
    PoolType poolType,
    Shop shop,
    RequestBody body,
    long deadlineMillis) {}
