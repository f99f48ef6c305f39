package io.carawaylift.decisions.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** The waiting work of one customer within one rank, with the slot time that the customer has used in that rank. */
final class CustomerQueue<T> {
    /** Orders by slot time used, then by least recently served. */
    static final Comparator<CustomerQueue<?>> BY_SLOT_TIME = Comparator.<CustomerQueue<?>>comparingDouble(
                    queue -> queue.usedNanos)
            .thenComparingLong(queue -> queue.lastTurn)
            .thenComparing(queue -> queue.customer);

    /** Orders by number of waiting entries, largest first. */
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
