package io.carawaylift.decisions.admission;

import java.util.Comparator;

/**
 * Work that waits in the queue.
 *
 * @param number position in the order of arrival
 * @param arrivalNanos monotonic time at which the work was offered
 */
record WaitingWork<T>(long number, Work<T> work, CustomerQueue<T> queue, long arrivalNanos) {
    /** Orders by deadline, then by arrival. */
    static final Comparator<WaitingWork<?>> BY_DEADLINE = Comparator.<WaitingWork<?>>comparingLong(
                    entry -> entry.work().deadlineNanos())
            .thenComparingLong(WaitingWork::number);
}
