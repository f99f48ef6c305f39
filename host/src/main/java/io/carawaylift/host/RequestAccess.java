package io.carawaylift.host;

import io.carawaylift.decisions.customer.Authorization;
import io.carawaylift.decisions.customer.CustomerDirectory;
import io.carawaylift.decisions.route.Route;
import io.carawaylift.model.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * On whose behalf a request runs, and whether its key is valid. Checked on arrival and before each time it is sent, since
 * the key may be withdrawn while it waits. Used on the event loop only.
 */
final class RequestAccess {
    private final Source source;
    private final Route route;
    private final List<String> keys;
    private CustomerDirectory checkedCustomers;
    private Authorization authorization;

    /**
     * What the check depends on.
     *
     * @param customers those of the configuration in force
     */
    record Source(Supplier<CustomerDirectory> customers, ConfigurationFreshness freshness) {}

    RequestAccess(Source source, Route route, List<String> keys) {
        this.source = source;
        this.route = route;
        this.keys = keys;
        this.checkedCustomers = source.customers().get();
        this.authorization = Authorization.of(checkedCustomers, route.publicAccess(), keys);
    }

    /** Returns the result of the check on arrival. */
    Authorization authorization() {
        return authorization;
    }

    /** Returns why the request must not be sent now; empty if it may be. */
    Optional<ResultCode> refusal() {
        CustomerDirectory customers = source.customers().get();
        boolean needsKey = !authorization.allowed() || authorization.customer().isPresent();
        if (!needsKey) {
            return Optional.empty();
        }
        if (!keys.isEmpty() && !source.freshness().isUsable()) {
            // Also for an unknown key, since it may belong to a newer configuration.
            return Optional.of(ResultCode.CONFIGURATION_UNPROVEN);
        }
        if (customers != checkedCustomers) {
            checkedCustomers = customers;
            Authorization newer = Authorization.of(customers, route.publicAccess(), keys);
            boolean sameCustomer = newer.customer()
                    .map(each -> each.name())
                    .equals(authorization.customer().map(each -> each.name()));
            if (!newer.allowed() || !sameCustomer) {
                authorization = new Authorization(false, authorization.customer());
            }
        }
        return authorization.allowed() ? Optional.empty() : Optional.of(ResultCode.UNKNOWN_KEY);
    }
}
