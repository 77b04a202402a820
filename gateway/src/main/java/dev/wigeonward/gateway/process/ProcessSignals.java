package dev.wigeonward.gateway.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Registration of handlers for operating system signals. The JDK's signal class is accessed by reflection, because the
 * compiler's warning on its direct use cannot be suppressed.
 */
final class ProcessSignals {
    private ProcessSignals() {}

    /**
     * Registers an action that the JVM runs on one of its threads at each signal of the given name, for example TERM.
     */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation = (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                    action.run();
                    return null;
                }
                return objectMethod(proxy, method, arguments);
            };
            Object handler =
                    Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType}, invocation);
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(
                    "handler of signal " + name + " cannot be registered in this Java runtime", e);
        }
    }

    private static Object objectMethod(Object proxy, Method method, Object[] arguments) {
        return switch (method.getName()) {
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "signal handler";
        };
    }
}
