package io.carawaylift.decisions.ownership;

/**
 * Durations of the lease protocol in nanoseconds.
 *
 * @param heartbeat interval between heartbeats
 * @param lease time that one renewal lasts, counted from when its heartbeat was sent
 * @param margin covers differences between the rates of two monotonic clocks
 */
public record LeaseTimes(long heartbeat, long lease, long margin) {
    private static final long SECOND = 1_000_000_000L;

    /** Heartbeat 1 s, lease 6 s, margin 1 s. */
    public static final LeaseTimes DEFAULT = new LeaseTimes(SECOND, 6 * SECOND, SECOND);
}
