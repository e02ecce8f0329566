package org.cranberrystand.order;

/**
 * Order to one engine to serve a target.
 *
 * @param engine the name of the VM
 * @param target what the engine should serve
 * @param fencingNumber a number above all that the engine has seen
 */
public record EngineOrder(String engine, EngineTarget target, long fencingNumber) {}
