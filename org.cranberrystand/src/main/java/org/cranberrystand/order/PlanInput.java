package org.cranberrystand.order;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.upstream.UpstreamDirectory;

/**
 * Everything an {@link OrderPlanner} decides on.
 *
 * @param bundle the bundle in force
 * @param liveNodes the nodes that are not leaving or gone, with this one
 * @param viewConfirmed whether membership and engine states were read since the last pause
 * @param directory the upstreams
 * @param states the last state read from each engine
 * @param urgentLoadByPool the part of each pool's capacity that urgent work takes, from 0 to 1
 * @param goodputByPool the part of each pool's requests that were answered in time lately
 */
public record PlanInput(
    Bundle bundle,
    ImmutableSet<String> liveNodes,
    boolean viewConfirmed,
    UpstreamDirectory directory,
    ImmutableMap<String, EngineState> states,
    ImmutableMap<String, Double> urgentLoadByPool,
    ImmutableMap<String, Double> goodputByPool) {}
