package org.cranberrystand.order;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.upstream.UpstreamDirectory;

/**
 * Inputs of a decision of {@link OrderPlanner}.
 *
 * @param bundle the active bundle
 * @param liveNodes the nodes that are neither leaving nor gone, including this node
 * @param viewConfirmed whether the node has refreshed membership and engine states since its
 *     process was last paused
 * @param directory the known upstreams
 * @param states the last state read from each engine, by engine name
 * @param urgentLoadByPool the fraction of each pool's capacity used by urgent work, from 0 to 1
 * @param goodputByPool the fraction of each pool's recent requests that met their deadline, from 0
 *     to 1
 */
public record PlanInput(
    Bundle bundle,
    ImmutableSet<String> liveNodes,
    boolean viewConfirmed,
    UpstreamDirectory directory,
    ImmutableMap<String, EngineState> states,
    ImmutableMap<String, Double> urgentLoadByPool,
    ImmutableMap<String, Double> goodputByPool) {}
