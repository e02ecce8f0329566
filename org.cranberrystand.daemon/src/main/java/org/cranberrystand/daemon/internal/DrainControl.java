package org.cranberrystand.daemon.internal;

/** Starts the graceful shutdown of a node. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface DrainControl {

  /** Starts the shutdown; has no effect if it was already started. */
  void start();
}
