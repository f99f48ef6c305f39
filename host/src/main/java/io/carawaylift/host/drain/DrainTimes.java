package io.carawaylift.host.drain;

import java.time.Duration;

/**
 * When the phases of a planned stop end, in nanoseconds after its beginning. Immutable.
 *
 * @param acceptNanos end of the phase in which new connections and new requests are accepted
 * @param answerNanos end of the phase in which responses of endpoints are awaited; then the host answers itself
 * @param endNanos end of the stop, even if responses are not written yet
 */
public record DrainTimes(long acceptNanos, long answerNanos, long endNanos) {
    /** Duration in which requests still arrive: the lifetime of a lookup response plus some delay. */
    private static final Duration MAX_ACCEPT_DURATION = Duration.ofMillis(2600);

    /** Fraction of the grace period for the endpoints: they are still at work in its last sixth. */
    private static final double PROCESSING_GRACE_FRACTION = 0.84;

    /** Fraction of the grace period for the requests; the rest is for the end of the program on a busy host. */
    private static final double USABLE_GRACE_FRACTION = 0.86;

    /** Returns the times of a stop with a grace period, after which the process is killed. */
    public static DrainTimes of(Duration gracePeriod) {
        double graceNanos = gracePeriod.toNanos();
        return new DrainTimes(MAX_ACCEPT_DURATION.toNanos(), (long) (graceNanos * PROCESSING_GRACE_FRACTION), (long)
                (graceNanos * USABLE_GRACE_FRACTION));
    }
}
