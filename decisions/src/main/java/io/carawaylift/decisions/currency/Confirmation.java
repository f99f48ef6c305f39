package io.carawaylift.decisions.currency;

import java.time.Duration;

/**
 * What a follower relies on instead of calls of its own: that a relay with the same objects was recently answered by the
 * store. Times are in nanoseconds of one clock. Not thread-safe.
 */
public final class Confirmation {
    private final long lifetimeNanos;
    private boolean known;
    private long confirmedNanos;

    /** Creates a confirmation that has not been received yet. */
    public Confirmation(Duration lifetime) {
        lifetimeNanos = lifetime.toNanos();
    }

    /** Records that the relay holds the kind current and was answered by the store {@code age} ago. */
    public void received(long now, Duration age) {
        long time = now - Math.max(0, age.toNanos());
        if (!known || time - confirmedNanos > 0) {
            known = true;
            confirmedNanos = time;
        }
    }

    /** Returns the nanoseconds for which the view may still be relied on; 0 or less if the store must be read. */
    public long remainingNanos(long now) {
        return known ? lifetimeNanos - (now - confirmedNanos) : 0;
    }
}
