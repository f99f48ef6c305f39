package io.carawaylift.decisions.fleet;

/**
 * What the endpoints of one service in one region reported about their load: the mean, which is the best estimate for an
 * endpoint without a recent report of its own, and the last ones that reported a free slot. Times are monotonic
 * nanoseconds. Not thread-safe.
 */
final class GroupLoad {
    private static final double NEWEST_WEIGHT = 0.1;

    /** Time without reports for which the mean holds: a host with few requests gets a few reports in it. */
    private static final long HOLD_NANOS = 1_000_000_000L;

    /** Half-life after that, so that a host that sends nothing any more tries again. */
    private static final double HALF_LIFE_NANOS = 0.7e9;

    private static final int MAX_FREE = 4;

    private final EndpointStatus[] free = new EndpointStatus[MAX_FREE];
    private int nextFree;
    private double perSlot;
    private long reportedNanos;

    /** Records the requests running and waiting at an endpoint. */
    void reported(EndpointStatus endpoint, double load, long nowNanos) {
        int slots = endpoint.entry().slots();
        perSlot = perSlot(nowNanos);
        perSlot += NEWEST_WEIGHT * (load / slots - perSlot);
        reportedNanos = nowNanos;
        if (load < slots) {
            for (EndpointStatus each : free) {
                if (each == endpoint) {
                    return;
                }
            }
            free[nextFree] = endpoint;
            nextFree = (nextFree + 1) % MAX_FREE;
        }
    }

    /** Returns the mean number of requests per slot. */
    double perSlot(long nowNanos) {
        return perSlot * Decay.remaining(nowNanos - reportedNanos - HOLD_NANOS, HALF_LIFE_NANOS);
    }

    /** Returns endpoints that recently reported a free slot; some elements may be null. Not to be modified. */
    EndpointStatus[] recentlyFree() {
        return free;
    }
}
