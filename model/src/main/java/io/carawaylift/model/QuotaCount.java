package io.carawaylift.model;

/**
 * Requests of one customer in the last quota window, at one host or summed over several. The requests that leave the
 * window next are listed by steps, a step being a twentieth of the window, so that a receiver can age the count.
 *
 * @param admitted requests admitted in the window
 * @param leaving1 those of the admitted that leave the window in the first step
 * @param leaving2 those that leave it in the second step
 * @param leaving3 those that leave it in the third step
 * @param leaving4 those that leave it in the fourth step
 * @param arrived requests that arrived in the window, admitted or not
 */
public record QuotaCount(int admitted, int leaving1, int leaving2, int leaving3, int leaving4, int arrived) {
    /** Steps in a window. */
    public static final int STEPS_PER_WINDOW = 20;

    /** Steps for which the leaving requests are listed. */
    public static final int LISTED_STEPS = 4;

    /** No requests. */
    public static final QuotaCount NONE = new QuotaCount(0, 0, 0, 0, 0, 0);

    public QuotaCount {
        if (admitted < 0 || arrived < 0 || leaving1 < 0 || leaving2 < 0 || leaving3 < 0 || leaving4 < 0) {
            throw new IllegalArgumentException("counts must not be negative: admitted " + admitted + ", arrived "
                    + arrived + ", leaving " + leaving1 + " " + leaving2 + " " + leaving3 + " " + leaving4);
        }
    }

    /** Returns the sum of both counts. */
    public QuotaCount plus(QuotaCount other) {
        return new QuotaCount(
                admitted + other.admitted,
                leaving1 + other.leaving1,
                leaving2 + other.leaving2,
                leaving3 + other.leaving3,
                leaving4 + other.leaving4,
                arrived + other.arrived);
    }

    /** Returns the count after a number of whole steps; requests whose step is not listed stay until the window is over. */
    public QuotaCount after(long steps) {
        if (steps >= STEPS_PER_WINDOW) {
            return NONE;
        }
        QuotaCount aged = this;
        for (int step = 0; step < Math.min(steps, LISTED_STEPS); step++) {
            aged = new QuotaCount(
                    Math.max(0, aged.admitted - aged.leaving1),
                    aged.leaving2,
                    aged.leaving3,
                    aged.leaving4,
                    0,
                    aged.arrived);
        }
        return aged;
    }

    /** Returns the count without the given number of those that were admitted last. */
    public QuotaCount withoutNewest(int count) {
        return new QuotaCount(Math.max(0, admitted - count), leaving1, leaving2, leaving3, leaving4, arrived);
    }
}
