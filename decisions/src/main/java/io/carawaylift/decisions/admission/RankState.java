package io.carawaylift.decisions.admission;

/** State of one rank in an {@link AdmissionQueue}: its queue, floor and slots in use. */
final class RankState<T> {
    /** Time constant of the average of slots in use for {@link WaitEstimate}; as long as the {@link FloorCredit} window. */
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
