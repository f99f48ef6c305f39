package io.carawaylift.decisions.fleet;

/** Moving means of how long the endpoints of a service work, apart for objects they remember and others. Not thread-safe. */
public final class WorkTimes {
    private static final double NEWEST_WEIGHT = 0.05;

    private double rememberedMillis;
    private double otherMillis;

    /** Creates means that start at {@code initialMillis}. */
    public WorkTimes(double initialMillis) {
        this.rememberedMillis = initialMillis;
        this.otherMillis = initialMillis;
    }

    /** Records an answer. */
    public void add(boolean remembered, double millis) {
        if (remembered) {
            rememberedMillis += NEWEST_WEIGHT * (millis - rememberedMillis);
        } else {
            otherMillis += NEWEST_WEIGHT * (millis - otherMillis);
        }
    }

    /** Returns the expected milliseconds of work. */
    public double expected(boolean remembered) {
        return remembered ? rememberedMillis : Math.max(otherMillis, rememberedMillis);
    }
}
