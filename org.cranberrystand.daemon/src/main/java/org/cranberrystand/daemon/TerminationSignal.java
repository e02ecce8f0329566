package org.cranberrystand.daemon;

import java.lang.reflect.Proxy;

/**
 * Runs an action on each SIGTERM instead of ending the process.
 *
 * <p>A shutdown hook cannot be used, because the runtime ignores a second signal while hooks run.
 * The runtime's signal API is not part of the Java platform API, so it is called by reflection.
 */
final class TerminationSignal {
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private TerminationSignal() {}

  /**
   * Installs the action.
   *
   * @param action called on a thread of the runtime for each signal
   * @throws ReflectiveOperationException if the runtime has no signal API
   */
  static void handle(Runnable action) throws ReflectiveOperationException {
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
    Object signal = signalClass.getConstructor(String.class).newInstance("TERM");
    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
  }
}
