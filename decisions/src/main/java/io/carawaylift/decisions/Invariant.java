package io.carawaylift.decisions;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;

/** Assertions that stay on in production. Their conditions must cost no more than a few comparisons. */
public final class Invariant {
    private Invariant() {}

    /** As {@link #check(boolean, String, double)} for a whole number. */
    public static void check(boolean holds, String rule, long observed) {
        if (!holds) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, rule + ", observed " + observed);
        }
    }

    /**
     * Checks a condition.
     *
     * @param observed the value that breaks the condition, for the error message
     * @throws CarawayliftException with {@link ResultCode#INVARIANT_VIOLATED} if it does not hold
     */
    public static void check(boolean holds, String rule, double observed) {
        if (!holds) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, rule + ", observed " + observed);
        }
    }
}
