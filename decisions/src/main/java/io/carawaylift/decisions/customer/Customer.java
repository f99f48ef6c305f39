package io.carawaylift.decisions.customer;

import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation on whose behalf callers send requests. Its keys are held by the {@link CustomerDirectory} only, so that
 * a customer can be logged.
 *
 * @param priority rank that overrides that of the route, 0 is the highest; empty if the route's rank applies
 * @param requestsPerSecond limit over all hosts together; 0 means no limit
 * @param burst requests that may exceed the rate in a window
 * @param homeRegions regions that may run the requests; empty means all
 */
public record Customer(
        String name, OptionalInt priority, double requestsPerSecond, double burst, Set<String> homeRegions) {
    public Customer {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("a customer must have a name");
        }
        if (!(requestsPerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "customer " + name + ": rate and burst must not be negative: " + requestsPerSecond + ", " + burst);
        }
        homeRegions = Set.copyOf(homeRegions);
    }

    /** Returns whether the number of requests is limited. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }

    /** Returns whether endpoints of the region may run requests of this customer. */
    public boolean mayRunIn(String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }
}
