package io.carawaylift.decisions.ownership;

/**
 * Durations of the lease protocol in nanoseconds.
 *
 * @param heartbeatIntervalNanos interval between heartbeats
 * @param leaseNanos duration of a lease, counted from when the heartbeat that renews it was sent
 * @param clockMarginNanos covers differences between the rates of two monotonic clocks
 */
public record LeaseDurations(long heartbeatIntervalNanos, long leaseNanos, long clockMarginNanos) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Heartbeat 1 s, lease 6 s, margin 1 s. */
    public static final LeaseDurations DEFAULT =
            new LeaseDurations(NANOS_PER_SECOND, 6 * NANOS_PER_SECOND, NANOS_PER_SECOND);
}
