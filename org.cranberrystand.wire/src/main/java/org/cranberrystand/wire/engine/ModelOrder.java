package org.cranberrystand.wire.engine;

import java.util.List;
import org.cranberrystand.order.EngineTarget;

/**
 * Body of {@code POST /v1/orders}, which tells an engine which model to serve.
 *
 * @param model the model to serve
 * @param version the version of the weights
 * @param adapters the adapters to load
 * @param role the label of the role
 */
public record ModelOrder(String model, String version, List<String> adapters, String role) {

  /**
   * Creates the body for a target of the planner.
   *
   * @param target the model that the planner assigned to the engine
   * @return the body
   */
  public static ModelOrder of(EngineTarget target) {
    return new ModelOrder(
        target.model(), target.version(), target.adapters().asList(), target.role().label());
  }
}
