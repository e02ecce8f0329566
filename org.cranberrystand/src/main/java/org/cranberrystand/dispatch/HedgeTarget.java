package org.cranberrystand.dispatch;

import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * The upstream that a hedge can be sent to.
 *
 * @param upstream the upstream, in another failure domain than the first attempt
 * @param choice the figures behind the placement
 */
public record HedgeTarget(RegisteredUpstream upstream, PlacementChoice choice) {}
