package org.cranberrystand.daemon;

import com.google.common.collect.ImmutableList;
import java.lang.reflect.Proxy;

/**
 * Runs actions on signals that would end the process.
 *
 * <p>A shutdown hook cannot be used, because the runtime ignores a second signal while hooks run.
 * The runtime's signal API is not part of the Java platform API, so it is called by reflection.
 */
final class ProcessSignals {
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private static final ImmutableList<String> SIGNALS = ImmutableList.of("TERM", "INT");

  private ProcessSignals() {}

  /**
   * Installs an action for SIGTERM and SIGINT.
   *
   * @param action called on a thread of the runtime for each signal
   * @throws ReflectiveOperationException if the runtime has no signal API
   */
  static void handle(Runnable action) throws ReflectiveOperationException {
    handle(SIGNALS, action);
  }

  /**
   * Installs an action for SIGHUP.
   *
   * @param action called on a thread of the runtime for each signal
   * @throws ReflectiveOperationException if the runtime has no signal API
   */
  static void handleReload(Runnable action) throws ReflectiveOperationException {
    handle(ImmutableList.of("HUP"), action);
  }

  private static void handle(ImmutableList<String> names, Runnable action)
      throws ReflectiveOperationException {
    Class<?> signalClass = Class.forName(SIGNAL_CLASS);
    Class<?> handlerClass = Class.forName(HANDLER_CLASS);
    Object handler =
        Proxy.newProxyInstance(
            handlerClass.getClassLoader(),
            new Class<?>[] {handlerClass},
            (proxy, method, arguments) -> {
              if (method.getName().equals("handle")) {
                action.run();
              }
              return null;
            });
    for (String name : names) {
      Object signal = signalClass.getConstructor(String.class).newInstance(name);
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    }
  }
}
