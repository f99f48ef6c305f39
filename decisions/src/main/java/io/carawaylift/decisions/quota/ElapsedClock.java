package io.carawaylift.decisions.quota;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A clock that does not stop while the machine is suspended, as the monotonic clock does. It advances with the
 * monotonic clock and, where the wall clock has advanced further between two readings, by that. It never goes back. Not thread-safe.
 */
public final class ElapsedClock {
    /** Difference between the clocks up to which only the monotonic one counts: the unit and corrections of the other. */
    private static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private long lastMonotonicNanos;
    private long lastWallMillis;
    private long elapsedNanos;

    /** Creates a clock that starts at 0. */
    public ElapsedClock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
        this.monotonicNanos = monotonicNanos;
        this.wallMillis = wallMillis;
        lastMonotonicNanos = monotonicNanos.getAsLong();
        lastWallMillis = wallMillis.getAsLong();
    }

    /** Returns the nanoseconds since the clock was created. */
    public long nanos() {
        long monotonic = monotonicNanos.getAsLong();
        long wall = wallMillis.getAsLong();
        long monotonicElapsed = Math.max(0, monotonic - lastMonotonicNanos);
        long suspended = TimeUnit.MILLISECONDS.toNanos(wall - lastWallMillis) - monotonicElapsed;
        elapsedNanos += monotonicElapsed;
        lastMonotonicNanos = monotonic;
        if (suspended > MIN_SUSPENSION_NANOS) {
            elapsedNanos += suspended;
        }
        lastWallMillis = wall;
        return elapsedNanos;
    }
}
