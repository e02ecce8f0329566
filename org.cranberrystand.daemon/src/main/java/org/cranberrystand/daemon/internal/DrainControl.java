package org.cranberrystand.daemon.internal;

/** Starts the graceful shutdown of a node. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface DrainControl {

  /** Makes the node leave; has no effect on a node that leaves already. */
  void start();
}
