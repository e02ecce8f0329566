package org.cranberrystand.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Handles the signals that end a process.
 *
 * <p>The first one starts a graceful shutdown and the second one ends the process at once. A
 * shutdown hook cannot do this: the Java runtime ignores further signals while hooks run, and
 * closes the log. {@code sun.misc.Signal} is the only API for signals; it is called by reflection
 * because the compiler warns of it and offers no way to suppress that.
 */
final class TerminationSignal {
  /** Exit code of a process ended by SIGTERM. */
  private static final int EXIT_TERMINATED = 143;

  private final AtomicInteger received = new AtomicInteger();
  private final Runnable onFirst;

  private TerminationSignal(Runnable onFirst) {
    this.onFirst = onFirst;
  }

  /**
   * Handles the signals from now on.
   *
   * @param onFirst starts the graceful shutdown; must not block
   */
  static void install(Runnable onFirst) {
    TerminationSignal handler = new TerminationSignal(onFirst);
    try {
      handler.handle("TERM");
      handler.handle("INT");
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("the Java runtime cannot handle signals", e);
    }
  }

  private void handle(String name) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    InvocationHandler onSignal =
        (proxy, method, args) -> {
          if (method.getName().equals("handle")) {
            received();
          }
          return null;
        };
    Object proxy =
        Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, onSignal);
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
  }

  private void received() {
    if (received.getAndIncrement() == 0) {
      onFirst.run();
    } else {
      Runtime.getRuntime().halt(EXIT_TERMINATED);
    }
  }
}
