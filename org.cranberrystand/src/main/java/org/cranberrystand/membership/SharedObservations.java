package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.upstream.DrainTracker;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * What a node observed of upstreams and passes on to other nodes. Immutable.
 *
 * @param leavingUpstreams upstreams that announced recently that they are leaving, by {@linkplain
 *     RegisteredUpstream#incarnationKey incarnation}
 * @param upstreamLimits the rate limits that upstreams stated
 */
public record SharedObservations(
    ImmutableList<DrainTracker.Report> leavingUpstreams,
    ImmutableList<UpstreamLimits.Report> upstreamLimits) {

  /** No observations. */
  public static final SharedObservations NONE =
      new SharedObservations(ImmutableList.of(), ImmutableList.of());
}
