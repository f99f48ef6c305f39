package io.carawaylift.host;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would end the process otherwise. The JDK has no supported interface for signals, and the compiler
 * rejects direct use of the unsupported one.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs an action on another thread at each SIGHUP.
     *
     * @throws IllegalStateException if this Java runtime does not allow it
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
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }
}
