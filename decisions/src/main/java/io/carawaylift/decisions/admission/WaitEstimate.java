package io.carawaylift.decisions.admission;

import io.carawaylift.model.Rank;
import java.util.Map;

/** Estimates the queue wait of new work. */
final class WaitEstimate {
    /** Minimum number of slots assumed for a rank; avoids a division by zero when higher ranks use all slots. */
    private static final double MIN_SLOTS = 0.001;

    private WaitEstimate() {}

    /**
     * Returns the expected wait in nanoseconds. A rank gets its floor or the slots that higher ranks do not use, whichever gives
     * the shorter wait. Customers of a rank are served in turn, so another customer's backlog does not count in full.
     */
    static <T> double of(Map<Rank, RankState<T>> ranks, Rank rank, String customer, int limit, int inFlight) {
        RankState<T> own = ranks.get(rank);
        double service = serviceNanos(ranks, rank);
        double ownWork = ownWorkNanos(own.queue, customer, service);
        double higherWork = 0;
        double taken = 0;
        for (Rank other : Rank.values()) {
            RankState<T> state = ranks.get(other);
            if (other.compareTo(rank) < 0) {
                higherWork += state.waiting() * serviceNanos(ranks, other);
                taken += state.meanSlots;
            } else if (other.compareTo(rank) > 0 && state.waiting() > 0) {
                taken += state.floor * limit;
            }
        }
        if (inFlight >= limit) {
            ownWork += service;
        }
        double wait = (ownWork + higherWork) / Math.max(MIN_SLOTS, limit - taken);
        if (own.floor * limit > 0) {
            wait = Math.min(wait, ownWork / (own.floor * limit));
        }
        return wait;
    }

    /** Returns the mean service time of a rank; without samples the average over the other ranks, or 0 if none has samples. */
    static <T> double serviceNanos(Map<Rank, RankState<T>> ranks, Rank rank) {
        ServiceTimeStatistics own = ranks.get(rank).queue.serviceTime;
        if (own.known()) {
            return own.meanOr(0);
        }
        double sum = 0;
        int known = 0;
        for (RankState<T> state : ranks.values()) {
            if (state.queue.serviceTime.known()) {
                sum += state.queue.serviceTime.meanOr(0);
                known++;
            }
        }
        return known == 0 ? 0 : sum / known;
    }

    private static <T> double ownWorkNanos(RankQueue<T> queue, String customer, double service) {
        int own = queue.waitingOf(customer);
        int customers = queue.customersWaiting() + (own == 0 ? 1 : 0);
        double turns = (own + 1.0) * customers - 1;
        double byTurns = turns * service + queue.aheadNanos(customer) * (customers - 1);
        return Math.min(queue.waiting() * service, byTurns);
    }
}
