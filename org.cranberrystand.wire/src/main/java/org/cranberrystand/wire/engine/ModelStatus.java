package org.cranberrystand.wire.engine;

import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import org.cranberrystand.bundle.EngineRole;
import org.cranberrystand.order.EngineState;

/**
 * Model status of an engine, the response to {@code GET /v1/models}.
 *
 * @param model the model that the engine serves, or an empty string for none
 * @param version the version of the weights
 * @param adapters the loaded adapters
 * @param role the label of the role
 * @param loading whether the engine is loading a model and serves no requests
 * @param highestFencingNumber the highest fencing number of all orders that the engine received
 */
public record ModelStatus(
    String model,
    String version,
    List<String> adapters,
    String role,
    boolean loading,
    long highestFencingNumber) {

  /** Replaces null values, since the input is untrusted. */
  public ModelStatus {
    model = model == null ? "" : model;
    version = version == null ? "" : version;
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
    role = role == null ? EngineRole.MIXED.label() : role;
  }

  /**
   * Converts the status to the state used by the planner.
   *
   * @param engine the name of the engine
   * @param readAtNanos when the status was read, on the node's monotonic clock
   * @return the engine state
   */
  public EngineState toState(String engine, long readAtNanos) {
    return new EngineState(
        engine,
        model,
        version,
        ImmutableSortedSet.copyOf(adapters),
        EngineRole.fromLabel(role).orElse(EngineRole.MIXED),
        loading,
        highestFencingNumber,
        readAtNanos);
  }
}
