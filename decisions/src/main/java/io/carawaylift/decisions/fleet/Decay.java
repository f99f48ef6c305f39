package io.carawaylift.decisions.fleet;

/** Exponential decay of observations. Evaluated for each candidate of each decision, so it is approximated. */
final class Decay {
    /** Half-lives after which nothing is left. */
    private static final int MAX_HALF_LIVES = 30;

    private Decay() {}

    /**
     * Returns the remaining fraction of an observation; exact after whole half-lives, in between by up to 6 % too high. A
     * negative age counts as 0.
     */
    static double remaining(long ageNanos, double halfLifeNanos) {
        if (ageNanos <= 0) {
            return 1;
        }
        double halfLives = ageNanos / halfLifeNanos;
        if (halfLives >= MAX_HALF_LIVES) {
            return 0;
        }
        int whole = (int) halfLives;
        return (1 - (halfLives - whole) / 2) / (1 << whole);
    }
}
