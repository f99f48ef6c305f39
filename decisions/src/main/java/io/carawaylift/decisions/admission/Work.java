package io.carawaylift.decisions.admission;

import io.carawaylift.model.Rank;
import java.util.Objects;

/**
 * One request waiting for or using a slot.
 *
 * @param id unique in its queue
 * @param customer name of the customer, empty if unknown
 * @param deadlineNanos monotonic time after which the work is useless
 * @param payload what the queue's user needs to run the work
 */
public record Work<T>(long id, Rank rank, String customer, long deadlineNanos, T payload) {
    public Work {
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(customer, "customer");
    }
}
