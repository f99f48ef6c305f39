package io.carawaylift.host;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would otherwise terminate the process. Uses {@code sun.misc.Signal} by reflection, because the
 * JDK has no supported API for signals and the compiler rejects direct use of this class.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs an action on another thread at each SIGHUP.
     *
     * @throws IllegalStateException if the Java runtime does not support it
     */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Method handle = signal.getMethod("handle", signal, handler);
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        action.run();
                        return null;
                    });
            handle.invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException("this Java runtime does not support handlers for SIGHUP", e);
        }
    }
}
