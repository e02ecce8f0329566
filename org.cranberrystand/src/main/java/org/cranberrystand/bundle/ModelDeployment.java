package org.cranberrystand.bundle;

import com.google.common.collect.ImmutableSortedSet;

/**
 * Model version that part of the engines of a pool should serve.
 *
 * @param pool the pool
 * @param model the name of the model
 * @param version the version of its weights
 * @param adapters the adapters to load with it
 * @param role what the engines do for the model
 * @param share the part of the pool's engines, greater than 0 and at most 1
 */
public record ModelDeployment(
    String pool,
    String model,
    String version,
    ImmutableSortedSet<String> adapters,
    EngineRole role,
    double share) {}
