package io.carawaylift.decisions.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** A customer's work within one rank, and the slot time that the customer used there. */
final class CustomerQueue<T> {
    /** Orders by slot time used; equal ones in the order in which they last got a turn. */
    static final Comparator<CustomerQueue<?>> BY_SLOT_TIME = Comparator.<CustomerQueue<?>>comparingDouble(
                    queue -> queue.usedNanos)
            .thenComparingLong(queue -> queue.lastTurn)
            .thenComparing(queue -> queue.customer);

    /** Orders by amount of waiting work, most first. */
    static final Comparator<CustomerQueue<?>> LONGEST_BACKLOG_FIRST = Comparator.<CustomerQueue<?>>comparingInt(
                    queue -> -queue.waiting.size())
            .thenComparing(queue -> queue.customer);

    final String customer;
    final TreeMap<Long, WaitingWork<T>> waiting = new TreeMap<>();
    final ServiceTimeStatistics serviceTime = new ServiceTimeStatistics();
    double usedNanos;
    long lastTurn;
    int inFlight;

    CustomerQueue(String customer) {
        this.customer = customer;
    }

    boolean idle() {
        return waiting.isEmpty() && inFlight == 0;
    }
}
