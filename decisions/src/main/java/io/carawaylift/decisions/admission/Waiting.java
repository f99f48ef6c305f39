package io.carawaylift.decisions.admission;

import java.util.Comparator;

/**
 * Work in the queue.
 *
 * @param number position in the order of arrival
 * @param arrivalNanos monotonic time of its offer
 */
record Waiting<T>(long number, Work<T> work, CustomerLine<T> line, long arrivalNanos) {
    /** Orders by deadline, then by arrival. */
    static final Comparator<Waiting<?>> BY_DEADLINE = Comparator.<Waiting<?>>comparingLong(
                    entry -> entry.work().deadlineNanos())
            .thenComparingLong(Waiting::number);
}
