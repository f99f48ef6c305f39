package io.carawaylift.decisions.admission;

/**
 * Limits retries and hedges to a fraction of first attempts, so that retries cannot multiply a flood. Not thread-safe.
 */
public final class RetryBudget {
    /** Creates a budget; {@code fraction} is retries per first attempt, from 0 to 1. */
    public RetryBudget(double fraction) {
        throw new UnsupportedOperationException();
    }

    /** Records a first attempt. */
    public void firstAttempt() {
        throw new UnsupportedOperationException();
    }

    /** Takes one retry from the budget; returns false if it is used up. */
    public boolean tryRetry() {
        throw new UnsupportedOperationException();
    }
}
