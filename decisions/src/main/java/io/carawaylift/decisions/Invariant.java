package io.carawaylift.decisions;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;

/** Checks invariants, also in production. A condition must cost no more than a few comparisons. Thread-safe. */
public final class Invariant {
    private Invariant() {}

    /** Like {@link #check(boolean, String, double)}, for an integer value. */
    public static void check(boolean holds, String rule, long observed) {
        if (!holds) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, rule + ", observed " + observed);
        }
    }

    /**
     * Checks that an invariant holds.
     *
     * @param rule statement of the invariant, for the error message
     * @param observed value that the invariant is about, for the error message
     * @throws CarawayliftException with {@link ResultCode#INVARIANT_VIOLATED} if {@code holds} is false
     */
    public static void check(boolean holds, String rule, double observed) {
        if (!holds) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, rule + ", observed " + observed);
        }
    }
}
