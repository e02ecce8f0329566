package org.cranberrystand.order;

import com.google.common.collect.ImmutableSortedSet;
import org.cranberrystand.bundle.EngineRole;
import org.cranberrystand.bundle.ModelDeployment;

/**
 * What one engine should serve.
 *
 * @param model the model
 * @param version the version of the weights
 * @param adapters the adapters to load
 * @param role the role
 */
public record EngineTarget(
    String model, String version, ImmutableSortedSet<String> adapters, EngineRole role) {

  /**
   * Creates the target that a deployment gives to each of its engines.
   *
   * @param deployment the deployment
   * @return the target
   */
  public static EngineTarget of(ModelDeployment deployment) {
    return new EngineTarget(
        deployment.model(), deployment.version(), deployment.adapters(), deployment.role());
  }
}
