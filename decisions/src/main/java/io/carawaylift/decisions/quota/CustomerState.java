package io.carawaylift.decisions.quota;

import java.util.random.RandomGenerator;

/** What a host knows of its own requests of one customer. Times are nanoseconds. Not thread-safe. */
final class CustomerState {
    /** Time without requests after which a customer is forgotten; longer than sums refer to a report. */
    private static final long FORGET_NANOS = 60_000_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final SlidingCounts counts;
    private double rounding;
    private long lastUsedNanos;
    private long lastPromiseNanos;

    CustomerState(long windowNanos, long nowNanos, RandomGenerator random) {
        counts = new SlidingCounts(windowNanos, nowNanos);
        rounding = random.nextDouble();
        lastUsedNanos = nowNanos;
        lastPromiseNanos = nowNanos;
    }

    SlidingCounts counts() {
        return counts;
    }

    /** Drops what has left the window and records that the customer is in use. */
    void use(long nowNanos) {
        counts.advance(nowNanos);
        lastUsedNanos = nowNanos;
    }

    boolean isForgotten(long nowNanos) {
        return nowNanos - lastUsedNanos > FORGET_NANOS;
    }

    /** Returns the random number by which fractions of a request are rounded. */
    double rounding() {
        return rounding;
    }

    void roundAnew(RandomGenerator random) {
        rounding = random.nextDouble();
    }

    /**
     * Returns the milliseconds until a refused request should come again. Each refused request gets a time of its own,
     * since permits become free one after the other; none later than a window from now.
     */
    long waitMillis(long untilNextNanos, long permitIntervalNanos, long windowNanos, long nowNanos) {
        long earliest = nowNanos + untilNextNanos;
        long afterLast = lastPromiseNanos + permitIntervalNanos;
        long promised = Math.max(earliest, Math.min(afterLast, nowNanos + windowNanos));
        lastPromiseNanos = promised;
        return (long) Math.ceil((promised - nowNanos) / NANOS_PER_MILLI);
    }
}
