package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.dispatch.CrashRegister;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.upstream.DrainTracker;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * What a node observed of upstreams, streams and requests and passes on to other nodes. Immutable.
 *
 * @param leavingUpstreams upstreams that announced recently that they are leaving, by {@linkplain
 *     RegisteredUpstream#incarnationKey incarnation}
 * @param upstreamLimits the rate limits that upstreams stated
 * @param refusalLimits the rates of refusals beyond which upstreams say that they fail
 * @param crashes what is known of content that may crash upstreams
 * @param unreachablePools the pools none of whose upstreams the sender reaches
 * @param streamOrigins where streams began that are recent or that the receiver asked for
 * @param soughtStreams streams whose origin the sender asks for, by the identifier of the request
 *     that received the first event
 */
public record SharedObservations(
    ImmutableList<DrainTracker.Report> leavingUpstreams,
    ImmutableList<UpstreamLimits.Report> upstreamLimits,
    ImmutableList<UpstreamLimits.Report> refusalLimits,
    ImmutableList<CrashRegister.Report> crashes,
    ImmutableList<String> unreachablePools,
    ImmutableList<StreamOrigins.Origin> streamOrigins,
    ImmutableList<String> soughtStreams) {

  /** No observations. */
  public static final SharedObservations NONE =
      new SharedObservations(
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of());

  /**
   * Returns these observations with a question.
   *
   * @param streams the streams whose origin the sender asks for
   * @return a copy
   */
  public SharedObservations asking(ImmutableList<String> streams) {
    return new SharedObservations(
        leavingUpstreams,
        upstreamLimits,
        refusalLimits,
        crashes,
        unreachablePools,
        streamOrigins,
        streams);
  }

  /**
   * Returns these observations with the answer to a question.
   *
   * @param origins the origins that the receiver asked for
   * @return a copy
   */
  public SharedObservations answering(ImmutableList<StreamOrigins.Origin> origins) {
    return new SharedObservations(
        leavingUpstreams,
        upstreamLimits,
        refusalLimits,
        crashes,
        unreachablePools,
        origins,
        ImmutableList.of());
  }
}
