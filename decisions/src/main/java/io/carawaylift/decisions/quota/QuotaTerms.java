package io.carawaylift.decisions.quota;

import io.carawaylift.decisions.customer.Customer;

/**
 * What operators grant in each window beyond a customer's rate and burst.
 *
 * @param windowNanos length of the window
 * @param overage fraction by which the limit may be exceeded in a window
 * @param slack requests beyond the limit and its overage in a window
 */
public record QuotaTerms(long windowNanos, double overage, double slack) {
    /**
     * Part of the slack that is granted. With counts divided among many hosts some of a small limit would otherwise
     * never be used; the rest covers what the delay of the counts lets through.
     */
    private static final double GRANTED_SLACK = 0.4;

    /** Part of the slack that is kept for what hosts admitted and could not report before they were killed or cut off. */
    private static final double RESERVED_SLACK = 0.6;

    private static final double NANOS_PER_SECOND = 1e9;

    public QuotaTerms {
        if (windowNanos <= 0 || !(overage >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("the window must be positive, overage and slack not negative: "
                    + windowNanos + " ns, " + overage + ", " + slack);
        }
    }

    /** Returns the requests that a customer is entitled to in a window. */
    double quota(Customer customer) {
        return customer.requestsPerSecond() * windowNanos / NANOS_PER_SECOND + customer.burst();
    }

    /** Returns the requests that are granted in a window. */
    double target(Customer customer) {
        return quota(customer) + GRANTED_SLACK * slack;
    }

    /** Returns the requests that must not be exceeded in any window. */
    double bound(Customer customer) {
        return quota(customer) * (1 + overage) + slack;
    }

    /** Returns the requests in a window that are kept for what no host knows. */
    double reserve() {
        return RESERVED_SLACK * slack;
    }
}
