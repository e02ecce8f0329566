package org.cranberrystand.order;

import com.google.common.collect.ImmutableSortedSet;
import org.cranberrystand.bundle.EngineRole;

/**
 * State that an engine reports about the model it serves.
 *
 * @param engine the name of the engine
 * @param model the model that the engine serves, or an empty string for none
 * @param version the version of the model weights
 * @param adapters the loaded adapters
 * @param role the role of the engine
 * @param loading whether the engine is loading a model and cannot serve requests
 * @param highestFencingNumber the highest fencing number the engine has received in an order
 * @param readAtNanos when the node read the state, in nanoseconds of its monotonic clock
 */
public record EngineState(
    String engine,
    String model,
    String version,
    ImmutableSortedSet<String> adapters,
    EngineRole role,
    boolean loading,
    long highestFencingNumber,
    long readAtNanos) {

  /**
   * Returns whether the engine already serves a target.
   *
   * @param target the desired target
   * @return true if no order is needed
   */
  public boolean satisfies(EngineTarget target) {
    return !loading
        && model.equals(target.model())
        && version.equals(target.version())
        && adapters.equals(target.adapters())
        && role == target.role();
  }
}
