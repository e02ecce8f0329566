package org.cranberrystand.daemon.gateway;

import java.util.function.BooleanSupplier;
import org.cranberrystand.dispatch.HedgePolicy;

/**
 * Decides on hedges of all requests of a gateway.
 *
 * @param policy limits hedges and learns their delay
 * @param fleetVisible supplies whether the node has a view of the fleet
 */
record Hedging(HedgePolicy policy, BooleanSupplier fleetVisible) {}
