package io.carawaylift.decisions.fleet;

/**
 * How long the endpoints of a service work on a request: on objects that they remember, on others, and on the mean. Not
 * thread-safe.
 */
public final class WorkTimes {
    private static final double NEWEST_WEIGHT = 0.05;

    /**
     * Quantile of the times of objects that are believed to be remembered. Some of them were forgotten; a mean would take
     * these for the normal case, requests would spread, and endpoints would forget even more.
     */
    private static final double REMEMBERED_QUANTILE = 0.3;

    /** Step of the estimate of the quantile as a part of its value. */
    private static final double QUANTILE_STEP = 0.08;

    /** Expected times before the first answer, as parts of the target latency. */
    private static final double INITIAL_REMEMBERED = 0.5;

    private static final double INITIAL_OTHER = 1.4;

    private double rememberedMillis;
    private double otherMillis;
    private double meanMillis;

    /** Creates estimates for a service whose routes have the target latency. */
    public WorkTimes(double targetLatencyMillis) {
        this.rememberedMillis = INITIAL_REMEMBERED * targetLatencyMillis;
        this.otherMillis = INITIAL_OTHER * targetLatencyMillis;
        this.meanMillis = targetLatencyMillis;
    }

    /** Records the time of an answer; {@code remembered} is what was believed when the request was sent. */
    public void add(boolean remembered, double millis) {
        meanMillis += NEWEST_WEIGHT * (millis - meanMillis);
        if (remembered) {
            double below = millis < rememberedMillis ? 1 : 0;
            rememberedMillis += QUANTILE_STEP * rememberedMillis * (REMEMBERED_QUANTILE - below);
        } else {
            otherMillis += NEWEST_WEIGHT * (millis - otherMillis);
        }
    }

    /** Returns the expected milliseconds of work. */
    public double expected(boolean remembered) {
        return remembered ? rememberedMillis : Math.max(otherMillis, rememberedMillis);
    }

    /** Returns the mean milliseconds of work over all requests. */
    public double mean() {
        return meanMillis;
    }
}
