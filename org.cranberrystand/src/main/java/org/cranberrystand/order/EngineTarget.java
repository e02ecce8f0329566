package org.cranberrystand.order;

import com.google.common.collect.ImmutableSortedSet;
import org.cranberrystand.bundle.EngineRole;
import org.cranberrystand.bundle.ModelDeployment;

/**
 * Desired model configuration of one engine.
 *
 * @param model the name of the model
 * @param version the version of the model weights
 * @param adapters the adapters to load
 * @param role the role of the engine
 */
public record EngineTarget(
    String model, String version, ImmutableSortedSet<String> adapters, EngineRole role) {

  /**
   * Creates the target for the engines assigned to a deployment.
   *
   * @param deployment the deployment
   * @return the target
   */
  public static EngineTarget of(ModelDeployment deployment) {
    return new EngineTarget(
        deployment.model(), deployment.version(), deployment.adapters(), deployment.role());
  }
}
