package org.cranberrystand.bundle;

import com.google.common.collect.ImmutableSortedSet;

/**
 * Model version that a share of the engines of a pool should serve.
 *
 * @param pool the name of the pool
 * @param model the name of the model
 * @param version the version of the model weights
 * @param adapters the adapters to load
 * @param role the role of the engines
 * @param share the fraction of the engines of the pool, greater than 0 and at most 1
 */
public record ModelDeployment(
    String pool,
    String model,
    String version,
    ImmutableSortedSet<String> adapters,
    EngineRole role,
    double share) {}
