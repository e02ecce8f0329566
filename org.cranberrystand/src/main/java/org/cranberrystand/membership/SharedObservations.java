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
 * @param survivedCrashes the recent crashes of upstreams that others in the same failure domain
 *     lived through, by {@linkplain CrashRegister.Crash#upstream identity}
 * @param unreachablePools the pools none of whose upstreams the sender reaches
 * @param streamOrigins where streams began that are recent or that the receiver asked for
 * @param soughtStreams streams whose origin the sender asks for, by the identifier of the request
 *     that received the first event
 * @param storeSteadySeconds for how long the sender has read the store without an absence in which
 *     registrations may have expired, in seconds; 0 if it does not read it
 */
public record SharedObservations(
    ImmutableList<DrainTracker.Report> leavingUpstreams,
    ImmutableList<UpstreamLimits.Report> upstreamLimits,
    ImmutableList<UpstreamLimits.Report> refusalLimits,
    ImmutableList<CrashRegister.Report> crashes,
    ImmutableList<Integer> survivedCrashes,
    ImmutableList<String> unreachablePools,
    ImmutableList<StreamOrigins.Origin> streamOrigins,
    ImmutableList<String> soughtStreams,
    int storeSteadySeconds) {

  /** No observations. */
  public static final SharedObservations NONE = builder().build();

  /**
   * Creates a builder.
   *
   * @return a builder without observations
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns these observations with a question.
   *
   * @param streams the streams whose origin the sender asks for
   * @return a copy
   */
  public SharedObservations asking(ImmutableList<String> streams) {
    return toBuilder().soughtStreams(streams).build();
  }

  /**
   * Returns these observations with the answer to a question.
   *
   * @param origins the origins that the receiver asked for
   * @return a copy
   */
  public SharedObservations answering(ImmutableList<StreamOrigins.Origin> origins) {
    return toBuilder().streamOrigins(origins).soughtStreams(ImmutableList.of()).build();
  }

  private Builder toBuilder() {
    return builder()
        .leavingUpstreams(leavingUpstreams)
        .upstreamLimits(upstreamLimits)
        .refusalLimits(refusalLimits)
        .crashes(crashes)
        .survivedCrashes(survivedCrashes)
        .unreachablePools(unreachablePools)
        .streamOrigins(streamOrigins)
        .soughtStreams(soughtStreams)
        .storeSteadySeconds(storeSteadySeconds);
  }

  /** Builder of {@link SharedObservations}. */
  public static final class Builder {
    private ImmutableList<DrainTracker.Report> leavingUpstreams = ImmutableList.of();
    private ImmutableList<UpstreamLimits.Report> upstreamLimits = ImmutableList.of();
    private ImmutableList<UpstreamLimits.Report> refusalLimits = ImmutableList.of();
    private ImmutableList<CrashRegister.Report> crashes = ImmutableList.of();
    private ImmutableList<Integer> survivedCrashes = ImmutableList.of();
    private ImmutableList<String> unreachablePools = ImmutableList.of();
    private ImmutableList<StreamOrigins.Origin> streamOrigins = ImmutableList.of();
    private ImmutableList<String> soughtStreams = ImmutableList.of();
    private int storeSteadySeconds;

    private Builder() {}

    /**
     * Sets the upstreams that announced that they are leaving.
     *
     * @param value the announcements
     * @return this builder
     */
    public Builder leavingUpstreams(ImmutableList<DrainTracker.Report> value) {
      leavingUpstreams = value;
      return this;
    }

    /**
     * Sets the rate limits that upstreams stated.
     *
     * @param value the statements
     * @return this builder
     */
    public Builder upstreamLimits(ImmutableList<UpstreamLimits.Report> value) {
      upstreamLimits = value;
      return this;
    }

    /**
     * Sets the rates of refusals beyond which upstreams say that they fail.
     *
     * @param value the statements
     * @return this builder
     */
    public Builder refusalLimits(ImmutableList<UpstreamLimits.Report> value) {
      refusalLimits = value;
      return this;
    }

    /**
     * Sets what is known of content that may crash upstreams.
     *
     * @param value the reports
     * @return this builder
     */
    public Builder crashes(ImmutableList<CrashRegister.Report> value) {
      crashes = value;
      return this;
    }

    /**
     * Sets the recent crashes that others in the same failure domain lived through.
     *
     * @param value the identities of the crashes
     * @return this builder
     */
    public Builder survivedCrashes(ImmutableList<Integer> value) {
      survivedCrashes = value;
      return this;
    }

    /**
     * Sets the pools that the sender does not reach.
     *
     * @param value the names of the pools
     * @return this builder
     */
    public Builder unreachablePools(ImmutableList<String> value) {
      unreachablePools = value;
      return this;
    }

    /**
     * Sets where streams began.
     *
     * @param value the origins
     * @return this builder
     */
    public Builder streamOrigins(ImmutableList<StreamOrigins.Origin> value) {
      streamOrigins = value;
      return this;
    }

    /**
     * Sets the streams whose origin the sender asks for.
     *
     * @param value the identifiers of the requests that received the first event
     * @return this builder
     */
    public Builder soughtStreams(ImmutableList<String> value) {
      soughtStreams = value;
      return this;
    }

    /**
     * Sets for how long the sender has read the store without a notable absence.
     *
     * @param value the time in seconds; 0 if it does not read the store
     * @return this builder
     */
    public Builder storeSteadySeconds(int value) {
      storeSteadySeconds = value;
      return this;
    }

    /**
     * Creates the observations.
     *
     * @return the observations
     */
    public SharedObservations build() {
      return new SharedObservations(
          leavingUpstreams,
          upstreamLimits,
          refusalLimits,
          crashes,
          survivedCrashes,
          unreachablePools,
          streamOrigins,
          soughtStreams,
          storeSteadySeconds);
    }
  }
}
