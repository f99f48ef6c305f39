package io.carawaylift.testing.proxy;

import java.util.concurrent.TimeUnit;

/** Delay and bandwidth of one direction. Guarded by its own lock. */
final class TrafficShaper {
    private final long delayNanos;
    private final long bytesPerSecond;
    private long idleFromNanos = Long.MIN_VALUE;

    /** Creates the pace; {@code bytesPerSecond} 0 stands for no limit. */
    TrafficShaper(long delayMs, long bytesPerSecond) {
        this.delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMs);
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Returns in how many nanoseconds {@code bytes} that arrive now have passed, and reserves the time. */
    synchronized long reserve(long nowNanos, int bytes) {
        if (bytesPerSecond == 0) {
            return delayNanos;
        }
        long start = idleFromNanos == Long.MIN_VALUE ? nowNanos : Math.max(nowNanos, idleFromNanos);
        idleFromNanos = start + bytes * TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
        return idleFromNanos - nowNanos + delayNanos;
    }
}
