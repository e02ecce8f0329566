package org.cranberrystand.wire.engine;

import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import org.cranberrystand.bundle.EngineRole;
import org.cranberrystand.order.EngineState;

/**
 * Answer of an engine to {@code GET /v1/models}.
 *
 * @param model the model it serves, or an empty string for none
 * @param version the version of the weights
 * @param adapters the adapters loaded
 * @param role the label of its role
 * @param loading whether it is loading and out of service
 * @param highestFencingNumber the highest fencing number of an order it has seen
 */
public record ModelStatus(
    String model,
    String version,
    List<String> adapters,
    String role,
    boolean loading,
    long highestFencingNumber) {

  /** Replaces absent values, since the document comes from outside the system. */
  public ModelStatus {
    model = model == null ? "" : model;
    version = version == null ? "" : version;
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
    role = role == null ? EngineRole.MIXED.label() : role;
  }

  /**
   * Converts the answer for the planner.
   *
   * @param engine the name of the engine
   * @param readAtNanos when the answer was read, on the node's monotonic clock
   * @return the state
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
