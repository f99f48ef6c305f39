package io.carawaylift.decisions.fleet;

/**
 * How long the endpoints of a service work on a request: on objects that they remember, on others, and on the meanMillis. Not
 * thread-safe.
 */
public final class ProcessingTimes {
    private static final double NEWEST_WEIGHT = 0.05;

    /**
     * Quantile of the times of objects that are believed to be cached. Some of them were forgotten; a meanMillis would take
     * these for the normal case, requests would spread, and endpoints would forget even more.
     */
    private static final double CACHED_QUANTILE = 0.3;

    /** Step of the estimate of the quantile as a part of its value. */
    private static final double QUANTILE_STEP_FRACTION = 0.08;

    /** Expected times before the first answer, as parts of the target latency. */
    private static final double INITIAL_CACHED_RATIO = 0.5;

    private static final double INITIAL_UNCACHED_RATIO = 1.4;

    private double cachedMillis;
    private double uncachedMillis;
    private double meanMillis;

    /** Creates estimates for a service whose routes have the target latency. */
    public ProcessingTimes(double targetLatencyMillis) {
        this.cachedMillis = INITIAL_CACHED_RATIO * targetLatencyMillis;
        this.uncachedMillis = INITIAL_UNCACHED_RATIO * targetLatencyMillis;
        this.meanMillis = targetLatencyMillis;
    }

    /** Records the time of an answer; {@code cached} is what was believed when the request was sent. */
    public void add(boolean cached, double millis) {
        meanMillis += NEWEST_WEIGHT * (millis - meanMillis);
        if (cached) {
            double below = millis < cachedMillis ? 1 : 0;
            cachedMillis += QUANTILE_STEP_FRACTION * cachedMillis * (CACHED_QUANTILE - below);
        } else {
            uncachedMillis += NEWEST_WEIGHT * (millis - uncachedMillis);
        }
    }

    /** Returns the expectedMillis milliseconds of work. */
    public double expectedMillis(boolean cached) {
        return cached ? cachedMillis : Math.max(uncachedMillis, cachedMillis);
    }

    /** Returns the meanMillis milliseconds of work over all requests. */
    public double meanMillis() {
        return meanMillis;
    }
}
