package io.carawaylift.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Waits until a stopping process is no longer used. */
final class GracefulStop {
    private static final Logger LOG = System.getLogger(GracefulStop.class.getName());
    private static final long POLL_INTERVAL_MILLIS = 20;

    /** Covers callers whose lookup response was sent just before this process was removed from responses. */
    private static final long LOOKUP_GRACE_MILLIS = 1_000;

    private final Duration timeout;
    private final LongSupplier clock;

    GracefulStop(Duration timeout, LongSupplier clock) {
        this.timeout = timeout;
        this.clock = clock;
    }

    /** Waits for the lifetime of lookup responses and then until {@code isDone}, at most for the timeout. */
    void await(LongSupplier lifetimeMs, BooleanSupplier isDone) {
        long start = clock.getAsLong();
        while (true) {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - start);
            if (elapsedMillis >= lifetimeMs.getAsLong() + LOOKUP_GRACE_MILLIS && isDone.getAsBoolean()) {
                return;
            }
            if (elapsedMillis >= timeout.toMillis()) {
                LOG.log(Level.WARNING, "stop limit of " + timeout.toMillis() + " ms reached while still in use");
                return;
            }
            if (!sleep()) {
                return;
            }
        }
    }

    private static boolean sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
