package org.cranberrystand.order;

/**
 * Command that tells one engine which model to serve.
 *
 * @param engine the name of the engine
 * @param target the model, version, adapters and role to serve
 * @param fencingNumber a fencing number higher than any the engine has reported
 */
public record EngineOrder(String engine, EngineTarget target, long fencingNumber) {}
