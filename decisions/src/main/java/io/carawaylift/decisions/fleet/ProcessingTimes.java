package io.carawaylift.decisions.fleet;

/**
 * Estimates the processing time of requests at endpoints: for cached objects, for uncached ones, and
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

    /** A longer time counts as this multiple of the estimate: a few requests take many times as long as the others. */
    private static final double MAX_OUTLIER_RATIO = 3;

    /** Initial estimates as ratios of the target latency. */
    private static final double INITIAL_CACHED_RATIO = 0.5;

    private static final double INITIAL_UNCACHED_RATIO = 1.4;

    private double cachedMillis;
    private double uncachedMillis;
    private double meanMillis;
    private ProcessingTimes queued = this;

    /** Creates estimates for requests with a target latency. */
    public ProcessingTimes(double targetLatencyMillis) {
        this.cachedMillis = INITIAL_CACHED_RATIO * targetLatencyMillis;
        this.uncachedMillis = INITIAL_UNCACHED_RATIO * targetLatencyMillis;
        this.meanMillis = targetLatencyMillis;
    }

    /** Returns independent estimates that start with the values of these. */
    public ProcessingTimes copy() {
        ProcessingTimes copy = new ProcessingTimes(meanMillis);
        copy.cachedMillis = cachedMillis;
        copy.uncachedMillis = uncachedMillis;
        return copy;
    }

    /** Records a processing time at an endpoint of usual speed. */
    public void add(boolean cached, double millis) {
        add(cached, millis, 1);
    }

    /**
     * Records a processing time.
     *
     * @param cached what was expected when the request was sent
     * @param actualMillis how long it took
     * @param speed processing time of the endpoint as a multiple of the usual one
     */
    public void add(boolean cached, double actualMillis, double speed) {
        meanMillis += NEWEST_WEIGHT * (actualMillis - meanMillis);
        double millis = actualMillis / speed;
        if (cached) {
            double below = millis < cachedMillis ? 1 : 0;
            cachedMillis += QUANTILE_STEP_FRACTION * cachedMillis * (CACHED_QUANTILE - below);
        } else {
            double bounded = Math.min(millis, MAX_OUTLIER_RATIO * uncachedMillis);
            uncachedMillis += NEWEST_WEIGHT * (bounded - uncachedMillis);
        }
    }

    /** Returns the expected processing time in milliseconds. */
    public double expectedMillis(boolean cached) {
        return cached ? cachedMillis : Math.max(uncachedMillis, cachedMillis);
    }

    /**
     * Sets the estimates for all requests of the service, since those of other routes may be ahead in a queue. Without
     * them the queue is assumed to consist of the same kind of requests.
     */
    public void setQueued(ProcessingTimes service) {
        queued = service;
    }

    /** Returns the expected processing time of a request that is ahead in an endpoint's queue. */
    double queuedMillis() {
        return queued.expectedMillis(true);
    }

    /** Returns the mean processing time of all requests in milliseconds. */
    public double meanMillis() {
        return meanMillis;
    }
}
