package org.cranberrystand.order;

import com.google.common.collect.ImmutableSortedSet;
import org.cranberrystand.bundle.EngineRole;

/**
 * What an engine says about the model it serves.
 *
 * @param engine the name of the VM
 * @param model the model it serves, or an empty string for none
 * @param version the version of the weights
 * @param adapters the adapters loaded
 * @param role its role
 * @param loading whether it is loading and out of service
 * @param highestFencingNumber the highest fencing number of an order it has seen
 * @param readAtNanos when the state was read, on the node's monotonic clock
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
   * Tells whether the engine serves what a target asks for.
   *
   * @param target the target
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
