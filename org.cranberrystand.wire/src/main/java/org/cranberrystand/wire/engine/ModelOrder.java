package org.cranberrystand.wire.engine;

import java.util.List;
import org.cranberrystand.order.EngineTarget;

/**
 * Body of {@code POST /v1/orders} to an engine.
 *
 * @param model the model to serve
 * @param version the version of the weights
 * @param adapters the adapters to load
 * @param role the label of the role
 */
public record ModelOrder(String model, String version, List<String> adapters, String role) {

  /**
   * Converts a target of the planner.
   *
   * @param target the target
   * @return the body of the order
   */
  public static ModelOrder of(EngineTarget target) {
    return new ModelOrder(
        target.model(), target.version(), target.adapters().asList(), target.role().label());
  }
}
