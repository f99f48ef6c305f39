package io.carawaylift.decisions.quota;

import io.carawaylift.model.QuotaCount;

/**
 * Admitted and arrived requests of one customer at one host in a sliding window. A request counts until it is certainly
 * out of the window, at most one bucket longer. Times are nanoseconds. Not thread-safe.
 */
final class SlidingCounts {
    /** Buckets in a window; two in each step of a {@link QuotaCount}. */
    private static final int BUCKETS_PER_WINDOW = 2 * QuotaCount.STEPS_PER_WINDOW;

    /** One more than in a window, since the newest bucket is not complete. */
    private static final int BUCKETS = BUCKETS_PER_WINDOW + 1;

    private final long bucketNanos;
    private final int[] admitted = new int[BUCKETS];
    private final int[] arrived = new int[BUCKETS];
    private int admittedInWindow;
    private int arrivedInWindow;
    private long admittedInTotal;
    private long newest;

    SlidingCounts(long windowNanos, long nowNanos) {
        bucketNanos = Math.max(1, windowNanos / BUCKETS_PER_WINDOW);
        newest = Math.floorDiv(nowNanos, bucketNanos);
    }

    /** Drops what has left the window. */
    void advance(long nowNanos) {
        long current = Math.floorDiv(nowNanos, bucketNanos);
        long steps = Math.min(current - newest, BUCKETS);
        for (long step = 1; step <= steps; step++) {
            int slot = slot(current - steps + step);
            admittedInWindow -= admitted[slot];
            arrivedInWindow -= arrived[slot];
            admitted[slot] = 0;
            arrived[slot] = 0;
        }
        newest = Math.max(newest, current);
    }

    void recordArrival() {
        arrived[slot(newest)]++;
        arrivedInWindow++;
    }

    void recordAdmission() {
        admitted[slot(newest)]++;
        admittedInWindow++;
        admittedInTotal++;
    }

    /** Removes an admission that was recorded at the given time; returns false if it has left the window. */
    boolean removeAdmission(long admittedNanos) {
        long bucket = Math.floorDiv(admittedNanos, bucketNanos);
        if (bucket > newest || newest - bucket >= BUCKETS || admitted[slot(bucket)] == 0) {
            return false;
        }
        admitted[slot(bucket)]--;
        admittedInWindow--;
        admittedInTotal--;
        return true;
    }

    int admittedInWindow() {
        return admittedInWindow;
    }

    int arrivedInWindow() {
        return arrivedInWindow;
    }

    /** Returns all admissions that were recorded and not removed. */
    long admittedInTotal() {
        return admittedInTotal;
    }

    boolean isEmpty() {
        return admittedInWindow == 0 && arrivedInWindow == 0;
    }

    QuotaCount count() {
        return new QuotaCount(admittedInWindow, leaving(0), leaving(1), leaving(2), leaving(3), arrivedInWindow);
    }

    /** Returns the admissions that leave the window in a step from now. */
    private int leaving(int step) {
        long first = newest - BUCKETS_PER_WINDOW + 2L * step;
        return admitted[slot(first)] + admitted[slot(first + 1)];
    }

    /** Returns the nanoseconds until at least {@code count} of the admissions have left the window. */
    long nanosUntilLeft(int count, long nowNanos) {
        int left = 0;
        for (long bucket = newest - BUCKETS_PER_WINDOW; bucket <= newest; bucket++) {
            left += admitted[slot(bucket)];
            if (left >= count) {
                return Math.max(0, (bucket + BUCKETS) * bucketNanos - nowNanos);
            }
        }
        return BUCKETS * bucketNanos;
    }

    private static int slot(long bucket) {
        return Math.floorMod(bucket, BUCKETS);
    }
}
