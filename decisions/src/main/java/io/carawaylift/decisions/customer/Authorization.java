package io.carawaylift.decisions.customer;

import java.util.List;
import java.util.Optional;

/**
 * Whether a request may run, and on whose behalf.
 *
 * @param allowed whether the request may run
 * @param customer the customer that its key identifies; empty if it needs no key or must not run
 */
public record Authorization(boolean allowed, Optional<Customer> customer) {
    private static final Authorization REFUSED = new Authorization(false, Optional.empty());
    private static final Authorization ANONYMOUS = new Authorization(true, Optional.empty());

    /**
     * Checks the key of a request. A public route ignores keys, so that a request there is the same with a withdrawn
     * key as without one.
     *
     * @param keys keys that the request carries; several identify no customer
     */
    public static Authorization of(CustomerDirectory customers, boolean publicAccess, List<String> keys) {
        if (publicAccess) {
            return ANONYMOUS;
        }
        return switch (customers.keyUse()) {
            case IGNORED -> ANONYMOUS;
            case WITHDRAWN -> keys.isEmpty() ? ANONYMOUS : REFUSED;
            case REQUIRED -> keys.size() == 1 ? ofKey(customers, keys.get(0)) : REFUSED;
        };
    }

    private static Authorization ofKey(CustomerDirectory customers, String key) {
        return customers
                .byKey(key)
                .map(customer -> new Authorization(true, Optional.of(customer)))
                .orElse(REFUSED);
    }

    /** Returns the rank of the request, 0 is the highest; the customer's overrides that of the route. */
    public int priority(int routePriority) {
        return customer.map(each -> each.priority().orElse(routePriority)).orElse(routePriority);
    }

    /** Returns whether endpoints of the region may run requests of the customer. */
    public boolean mayRunIn(String region) {
        return customer.isEmpty() || customer.get().mayRunIn(region);
    }
}
