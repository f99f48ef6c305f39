package io.carawaylift.decisions.admission;

/**
 * How far one rank is behind its floor, in slot time. Credit accrues at the floor's rate while work waits and is spent by
 * the slots in use. It is bounded by what the floor gives in 10 s, which makes it the share of slot time over about the
 * last 10 s.
 */
final class FloorCredit {
    /** Longest time over which a shortfall or an excess is remembered. */
    private static final double WINDOW_NANOS = 10e9;

    /**
     * Longest wait that use of otherwise idle slots can cause. Without this bound a rank that used all slots while it was
     * alone would get nothing during the first 10 s of a flood of higher rank.
     */
    private static final double MAX_IDLE_USE_NANOS = 2e9;

    /** A rank that is this far behind may use one slot above its floor to catch up. */
    private static final double CATCH_UP_NANOS = 1e9;

    private double credit;

    /**
     * Accounts for an interval.
     *
     * @param floorSlots slots that the floor amounts to
     * @param slotsByFloor slots in use that were taken ahead of higher ranks
     * @param otherSlots other slots in use
     */
    void advance(double nanos, double floorSlots, boolean hasWaiting, int slotsByFloor, int otherSlots) {
        credit += (floorSlots - slotsByFloor) * nanos;
        if (otherSlots > 0) {
            credit = Math.max(credit - otherSlots * nanos, Math.min(credit, -floorSlots * MAX_IDLE_USE_NANOS));
        }
        if (!hasWaiting) {
            credit = Math.min(credit, 0);
        }
        double bound = floorSlots * WINDOW_NANOS;
        credit = Math.max(-bound, Math.min(bound, credit));
    }

    /** Returns whether the rank, using {@code inFlight} slots, may take another slot ahead of higher ranks. */
    boolean mayGoFirst(double floorSlots, int inFlight) {
        if (floorSlots <= 0 || credit <= 0) {
            return false;
        }
        double slots = Math.ceil(floorSlots - 1e-9);
        return inFlight < slots || (credit > floorSlots * CATCH_UP_NANOS && inFlight < slots + 1);
    }

    /** Returns for how long the rank has been without its floor, in nanoseconds. */
    double behindNanos(double floorSlots) {
        return floorSlots <= 0 ? 0 : credit / floorSlots;
    }
}
