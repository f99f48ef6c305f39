package io.carawaylift.decisions.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** A customer's work within one rank, and the slot time that the customer used there. */
final class CustomerLine<T> {
    /** Orders by slot time used; equal ones in the order in which they last got a turn. */
    static final Comparator<CustomerLine<?>> BY_USE = Comparator.<CustomerLine<?>>comparingDouble(
                    line -> line.usedNanos)
            .thenComparingLong(line -> line.turn)
            .thenComparing(line -> line.customer);

    /** Orders by amount of waiting work, most first. */
    static final Comparator<CustomerLine<?>> BY_BACKLOG = Comparator.<CustomerLine<?>>comparingInt(
                    line -> -line.waiting.size())
            .thenComparing(line -> line.customer);

    final String customer;
    final TreeMap<Long, Waiting<T>> waiting = new TreeMap<>();
    final ServiceTime serviceTime = new ServiceTime();
    double usedNanos;
    long turn;
    int inFlight;

    CustomerLine(String customer) {
        this.customer = customer;
    }

    boolean idle() {
        return waiting.isEmpty() && inFlight == 0;
    }
}
