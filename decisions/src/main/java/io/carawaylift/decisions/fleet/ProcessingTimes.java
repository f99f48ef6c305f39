package io.carawaylift.decisions.fleet;

/**
 * Estimates the processing time of requests at the endpoints of a service: for cached objects, for uncached ones, and
 * the mean. Not thread-safe.
 */
public final class ProcessingTimes {
    private static final double NEWEST_WEIGHT = 0.05;

    /**
     * Quantile of the times of objects that are expected to be cached. Some of them were evicted; a mean would include
     * their longer times, requests would spread to more endpoints, and these would evict even more.
     */
    private static final double CACHED_QUANTILE = 0.3;

    /** Step of the quantile estimate as a fraction of its value. */
    private static final double QUANTILE_STEP_FRACTION = 0.08;

    /** Initial estimates as ratios of the target latency. */
    private static final double INITIAL_CACHED_RATIO = 0.5;

    private static final double INITIAL_UNCACHED_RATIO = 1.4;

    private double cachedMillis;
    private double uncachedMillis;
    private double meanMillis;

    /** Creates estimates for a service with the target latency of its routes. */
    public ProcessingTimes(double targetLatencyMillis) {
        this.cachedMillis = INITIAL_CACHED_RATIO * targetLatencyMillis;
        this.uncachedMillis = INITIAL_UNCACHED_RATIO * targetLatencyMillis;
        this.meanMillis = targetLatencyMillis;
    }

    /** Records a processing time; {@code cached} is what was expected when the request was sent. */
    public void add(boolean cached, double millis) {
        meanMillis += NEWEST_WEIGHT * (millis - meanMillis);
        if (cached) {
            double below = millis < cachedMillis ? 1 : 0;
            cachedMillis += QUANTILE_STEP_FRACTION * cachedMillis * (CACHED_QUANTILE - below);
        } else {
            uncachedMillis += NEWEST_WEIGHT * (millis - uncachedMillis);
        }
    }

    /** Returns the expected processing time in milliseconds. */
    public double expectedMillis(boolean cached) {
        return cached ? cachedMillis : Math.max(uncachedMillis, cachedMillis);
    }

    /** Returns the mean processing time of all requests in milliseconds. */
    public double meanMillis() {
        return meanMillis;
    }
}
