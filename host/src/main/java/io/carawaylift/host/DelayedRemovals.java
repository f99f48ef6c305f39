package io.carawaylift.host;

import java.util.HashMap;
import java.util.Map;

/** Removals that take effect after a delay unless the object is written again meanwhile. Used on the event loop only. */
final class DelayedRemovals {
    private final HostLoop loop;
    private final Map<String, HostLoop.Timer> timers = new HashMap<>();

    DelayedRemovals(HostLoop loop) {
        this.loop = loop;
    }

    /** Runs a removal after a delay in milliseconds, at once if that is 0. Replaces an earlier one of the same name. */
    void remove(String name, long delayMillis, Runnable removal) {
        cancel(name);
        if (delayMillis <= 0) {
            removal.run();
            return;
        }
        timers.put(name, loop.after(delayMillis, () -> {
            timers.remove(name);
            removal.run();
        }));
    }

    /** Drops the removal of an object that was written again; does nothing if there is none. */
    void cancel(String name) {
        HostLoop.Timer timer = timers.remove(name);
        if (timer != null) {
            timer.cancel();
        }
    }
}
