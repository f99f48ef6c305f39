package io.carawaylift.decisions.links;

import io.carawaylift.decisions.Invariant;

/**
 * Token bucket of one link. Rate and depth together are this process's part of the cap, so that no interval of one second
 * holds more bytes than the part: the rate is 95 % of it, the depth 50 ms of it.
 */
final class LinkBucket {
    private static final double DEPTH_SECONDS = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING_BYTES = 1e-3;

    private double bytesPerNano;
    private double depth;
    private double tokens;
    private long latestNanos;

    LinkBucket(long nowNanos) {
        this.latestNanos = nowNanos;
    }

    /** Sets this process's part of the cap in bytes per second, 0 if nothing may be sent. */
    void share(double bytesPerSecond, long nowNanos) {
        refill(nowNanos);
        bytesPerNano = bytesPerSecond * (1 - DEPTH_SECONDS) / NANOS_PER_SECOND;
        depth = bytesPerSecond * DEPTH_SECONDS;
        tokens = Math.min(tokens, depth);
    }

    long reserve(int bytes, long nowNanos) {
        if (bytesPerNano <= 0) {
            return -1;
        }
        refill(nowNanos);
        long wait = waitNanos(bytes, nowNanos);
        // Reservations queue up, so the state is that of the time at which this one is sent.
        long sendAt = nowNanos + wait;
        if (sendAt - latestNanos > 0) {
            tokens += bytesPerNano * (sendAt - latestNanos);
            latestNanos = sendAt;
        }
        // A piece above the depth leaves a debt: otherwise it and the rate after it would exceed the part in one
        // second.
        tokens = Math.min(tokens, Math.max(depth, bytes)) - bytes;
        tokens -= Math.max(0, bytes - depth);
        Invariant.check(
                tokens >= -bytes - ROUNDING_BYTES, "tokens must not be negative by more than one reservation", tokens);
        return wait;
    }

    long backlogNanos(long nowNanos) {
        if (bytesPerNano <= 0) {
            return -1;
        }
        refill(nowNanos);
        return waitNanos(1, nowNanos);
    }

    private long waitNanos(int bytes, long nowNanos) {
        long queued = Math.max(0, latestNanos - nowNanos);
        double missing = Math.max(0, bytes - tokens);
        return queued + (long) Math.ceil(missing / bytesPerNano);
    }

    private void refill(long nowNanos) {
        long passed = nowNanos - latestNanos;
        if (passed > 0) {
            tokens = Math.min(depth, tokens + bytesPerNano * passed);
            latestNanos = nowNanos;
        }
    }
}
