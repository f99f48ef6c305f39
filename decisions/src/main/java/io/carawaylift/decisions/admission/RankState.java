package io.carawaylift.decisions.admission;

/** Everything the queue knows of one rank. */
final class RankState<T> {
    /** Time over which the use of slots by a rank is averaged for estimates, as for floors. */
    private static final double SLOT_USE_AVERAGING_NANOS = 10e9;

    final RankQueue<T> queue = new RankQueue<>();
    final FloorCredit credit = new FloorCredit();
    double floor;
    int startedByFloor;
    int startedInTurn;
    double meanSlots;

    int inFlight() {
        return startedByFloor + startedInTurn;
    }

    int waiting() {
        return queue.waiting();
    }

    void advance(double nanos, int limit) {
        credit.advance(nanos, floor * limit, waiting() > 0, startedByFloor, startedInTurn);
        meanSlots += (inFlight() - meanSlots) * -Math.expm1(-nanos / SLOT_USE_AVERAGING_NANOS);
    }

    boolean mayGoFirst(int limit) {
        return waiting() > 0 && credit.mayGoFirst(floor * limit, inFlight());
    }
}
