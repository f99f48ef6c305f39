package io.carawaylift.decisions.admission;

/**
 * Tracks the slot time by which one rank is behind its floor. Credit accrues at the rate of the floor while work is waiting
 * and is spent by the slots in use. It is bounded by the slot time that the floor yields in 10 s, so that it reflects the
 * use of about the last 10 s.
 */
final class FloorCredit {
    /** Bounds the credit and the debt, in time at the floor's rate. */
    private static final double WINDOW_NANOS = 10e9;

    /**
     * Maximum wait that the use of otherwise idle slots can cause. Without this bound, a rank that had used all slots while no
     * other rank needed them would get no slots in the first 10 s of a flood of a higher rank.
     */
    private static final double MAX_IDLE_USE_NANOS = 2e9;

    /** A rank that is this far behind its floor may use one slot above its floor to catch up. */
    private static final double CATCH_UP_NANOS = 1e9;

    private double credit;

    /**
     * Updates the credit for an interval.
     *
     * @param nanos length of the interval
     * @param floorSlots number of slots that the floor amounts to, may be fractional
     * @param hasWaiting whether work of the rank is waiting
     * @param slotsByFloor slots in use by work that started ahead of higher ranks because of the floor
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

    /** Returns how far the rank is behind its floor, as time at the floor's rate in nanoseconds. */
    double behindNanos(double floorSlots) {
        return floorSlots <= 0 ? 0 : credit / floorSlots;
    }
}
