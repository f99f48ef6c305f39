package io.carawaylift.decisions.admission;

import io.carawaylift.decisions.Invariant;

/**
 * Limits retries and hedged requests to a fraction of first attempts, so that retries cannot amplify an overload. Not
 * thread-safe.
 */
public final class RetryBudget {
    /** Maximum number of saved retries; more would allow a burst of retries when a failure follows a long time without any. */
    private static final double MAX_SAVED_RETRIES = 20;

    /** Absorbs the rounding of sums of fractions such as 0.1. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final double fraction;
    private double savedRetries;

    /**
     * Creates a budget.
     *
     * @param fraction allowed retries per first attempt, from 0 to 1
     * @throws IllegalArgumentException if {@code fraction} is out of range
     */
    public RetryBudget(double fraction) {
        if (!(fraction >= 0 && fraction <= 1)) {
            throw new IllegalArgumentException("fraction must be from 0 to 1: " + fraction);
        }
        this.fraction = fraction;
    }

    /** Records a first attempt. */
    public void firstAttempt() {
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + fraction);
    }

    /** Takes one retry from the budget; returns false if it is used up. */
    public boolean tryRetry() {
        if (savedRetries < 1 - ROUNDING_TOLERANCE) {
            return false;
        }
        savedRetries = Math.max(0, savedRetries - 1);
        Invariant.check(savedRetries <= MAX_SAVED_RETRIES, "saved retries must be bounded", savedRetries);
        return true;
    }
}
