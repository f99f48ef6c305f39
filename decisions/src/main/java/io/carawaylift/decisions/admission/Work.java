package io.carawaylift.decisions.admission;

import io.carawaylift.model.Rank;
import java.util.Objects;

/**
 * One request waiting for or using a slot.
 *
 * @param id unique within its queue
 * @param customer name of the customer, empty if unknown
 * @param deadlineNanos monotonic time after which the result is useless
 * @param payload data that the caller needs to run the work, not used by the queue
 */
public record Work<T>(long id, Rank rank, String customer, long deadlineNanos, T payload) {
    public Work {
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(customer, "customer");
    }
}
