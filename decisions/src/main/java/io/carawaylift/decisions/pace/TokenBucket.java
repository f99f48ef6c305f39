package io.carawaylift.decisions.pace;

/** Permits events at a steady rate with a bounded burst. Times are monotonic nanoseconds. Not thread-safe. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double burst;
    private double tokens;
    private long filledNanos;

    /** Creates a full bucket. */
    public TokenBucket(double burst, long nowNanos) {
        this.burst = burst;
        this.tokens = burst;
        this.filledNanos = nowNanos;
    }

    /** Returns whether an event is permitted now. */
    public boolean available(double ratePerSecond, long nowNanos) {
        fill(ratePerSecond, nowNanos);
        return tokens >= 1;
    }

    /** Takes a permit if there is one. */
    public boolean tryTake(double ratePerSecond, long nowNanos) {
        if (!available(ratePerSecond, nowNanos)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void fill(double ratePerSecond, long nowNanos) {
        double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
        tokens = Math.min(burst, tokens + seconds * ratePerSecond);
        filledNanos = nowNanos;
    }
}
