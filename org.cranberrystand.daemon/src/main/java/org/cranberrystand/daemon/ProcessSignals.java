package org.cranberrystand.daemon;

import com.google.common.collect.ImmutableList;
import java.lang.reflect.Proxy;

/**
 * Installs actions for the signals that end the process by default.
 *
 * <p>Shutdown hooks are not sufficient, because the JVM ignores a second signal while hooks run.
 * {@code sun.misc.Signal} is not part of the Java platform API, so it is called by reflection.
 */
final class ProcessSignals {
  private static final String SIGNAL_CLASS_NAME = "sun.misc.Signal";
  private static final String HANDLER_CLASS_NAME = "sun.misc.SignalHandler";

  private static final ImmutableList<String> TERMINATION_SIGNALS = ImmutableList.of("TERM", "INT");

  private ProcessSignals() {}

  /**
   * Installs an action for SIGTERM and SIGINT.
   *
   * @param action called for each signal, on a thread of the JVM
   * @throws ReflectiveOperationException if the JVM does not have {@code sun.misc.Signal}
   */
  static void onTermination(Runnable action) throws ReflectiveOperationException {
    install(TERMINATION_SIGNALS, action);
  }

  /**
   * Installs an action for SIGHUP.
   *
   * @param action called for each signal, on a thread of the JVM
   * @throws ReflectiveOperationException if the JVM does not have {@code sun.misc.Signal}
   */
  static void onReload(Runnable action) throws ReflectiveOperationException {
    install(ImmutableList.of("HUP"), action);
  }

  private static void install(ImmutableList<String> names, Runnable action)
      throws ReflectiveOperationException {
    Class<?> signalClass = Class.forName(SIGNAL_CLASS_NAME);
    Class<?> handlerClass = Class.forName(HANDLER_CLASS_NAME);
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
