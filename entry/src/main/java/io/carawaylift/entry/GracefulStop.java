package io.carawaylift.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Waits until a leaving process is no longer used. */
final class GracefulStop {
    private static final Logger LOG = System.getLogger(GracefulStop.class.getName());
    private static final long POLL_MS = 20;

    /** Covers callers that got their look-up answer right before the process was no longer named. */
    private static final long AFTER_LIFETIME_MS = 1_000;

    private final Duration limit;
    private final LongSupplier clock;

    GracefulStop(Duration limit, LongSupplier clock) {
        this.limit = limit;
        this.clock = clock;
    }

    /** Waits for the life time of look-up answers and then for {@code isServed}, but no longer than the limit. */
    void await(LongSupplier lifetimeMs, BooleanSupplier isServed) {
        long start = clock.getAsLong();
        while (true) {
            long passedMs = TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - start);
            if (passedMs >= lifetimeMs.getAsLong() + AFTER_LIFETIME_MS && isServed.getAsBoolean()) {
                return;
            }
            if (passedMs >= limit.toMillis()) {
                LOG.log(Level.WARNING, "stop limit of " + limit.toMillis() + " ms reached while still in use");
                return;
            }
            if (!sleep()) {
                return;
            }
        }
    }

    private static boolean sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
