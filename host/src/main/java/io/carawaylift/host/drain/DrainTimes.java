package io.carawaylift.host.drain;

import java.time.Duration;

/**
 * When the phases of a planned stop end, in nanoseconds after its beginning. Immutable.
 *
 * @param acceptNanos end of the phase in which new connections and new requests are accepted
 * @param endNanos end of the stop, even if requests are in progress
 */
public record DrainTimes(long acceptNanos, long endNanos) {
    /** Duration in which requests still arrive: the lifetime of a lookup response plus some delay. */
    private static final Duration MAX_ACCEPT_DURATION = Duration.ofMillis(2600);

    /** Fraction of the grace period for the requests; the rest is for the end of the program on a busy host. */
    private static final double USABLE_GRACE_FRACTION = 0.86;

    /** Returns the times of a stop with a grace period, after which the process is killed. */
    public static DrainTimes of(Duration gracePeriod) {
        long endNanos = (long) (gracePeriod.toNanos() * USABLE_GRACE_FRACTION);
        return new DrainTimes(MAX_ACCEPT_DURATION.toNanos(), endNanos);
    }
}
