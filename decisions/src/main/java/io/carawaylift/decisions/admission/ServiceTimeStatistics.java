package io.carawaylift.decisions.admission;

/** Moving mean and variance of observed service times, in nanoseconds. */
final class ServiceTimeStatistics {
    /** Service times differ by a factor of 100, so with a larger weight single long requests would dominate the mean. */
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    private long samples;
    private double mean;
    private double variance;

    void add(double nanos) {
        samples++;
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples);
        double deviation = nanos - mean;
        mean += weight * deviation;
        variance = (1 - weight) * (variance + weight * deviation * deviation);
    }

    /** Returns the mean plus three standard deviations, which most requests do not exceed; 0 before the first sample. */
    double likelyMax() {
        return mean + 3 * Math.sqrt(variance);
    }

    boolean known() {
        return samples > 0;
    }

    /** Returns the mean, or {@code fallback} before the first sample. */
    double meanOr(double fallback) {
        return samples > 0 ? mean : fallback;
    }
}
