package io.carawaylift.testing.proxy;

import java.util.concurrent.TimeUnit;

/** Computes when data passes one direction with a given delay and bandwidth. Thread-safe. */
final class TrafficShaper {
    private final long delayNanos;
    private final long bytesPerSecond;
    private long idleFromNanos = Long.MIN_VALUE;

    /** Creates a shaper; a {@code bytesPerSecond} of 0 means no limit. */
    TrafficShaper(long delayMs, long bytesPerSecond) {
        this.delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMs);
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Reserves bandwidth for bytes that arrive now; returns in how many nanoseconds they have passed. */
    synchronized long reserve(long nowNanos, int bytes) {
        if (bytesPerSecond == 0) {
            return delayNanos;
        }
        long start = idleFromNanos == Long.MIN_VALUE ? nowNanos : Math.max(nowNanos, idleFromNanos);
        idleFromNanos = start + bytes * TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
        return idleFromNanos - nowNanos + delayNanos;
    }
}
