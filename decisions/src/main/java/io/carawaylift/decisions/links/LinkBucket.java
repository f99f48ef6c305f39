package io.carawaylift.decisions.links;

import io.carawaylift.decisions.Invariant;

/**
 * Token bucket of one link. The rate is 95 % of this process's share of the link's cap and the depth is 50 ms of the share.
 * Together they equal the share, so that no interval of one second holds more bytes than the share. Not thread-safe.
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

    /** Sets this process's share of the cap in bytes per second; 0 if nothing may be sent. */
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
        // Reservations are queued, so the state advances to the time at which this one is sent.
        long sendAt = nowNanos + wait;
        if (sendAt - latestNanos > 0) {
            tokens += bytesPerNano * (sendAt - latestNanos);
            latestNanos = sendAt;
        }
        // A reservation larger than the depth is charged its excess twice, because otherwise it and the refill after it
        // would exceed the share within one second.
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
