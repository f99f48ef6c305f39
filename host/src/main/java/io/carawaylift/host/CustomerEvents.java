package io.carawaylift.host;

import io.carawaylift.decisions.customer.CustomerDirectory;
import io.carawaylift.decisions.customer.KeyUse;

/** Logs which customers of a configuration cannot send requests. No line contains a key. */
final class CustomerEvents {
    private CustomerEvents() {}

    static void log(CustomerDirectory customers, EventLog log) {
        if (customers.keyUse() == KeyUse.WITHDRAWN) {
            log.event("customer.table_removed", line -> line.put("reason", "requests with a key are refused"));
        }
        for (CustomerDirectory.IgnoredEntry entry : customers.ignoredEntries()) {
            log.event(
                    "customer.ignored",
                    line -> line.put("customer", entry.name())
                            .put("row", entry.row())
                            .put("reason", entry.reason()));
        }
        for (String name : customers.customersWithSharedKeys()) {
            log.event(
                    "customer.key_shared",
                    line -> line.put("customer", name)
                            .put("reason", "another customer holds one of its keys, which identifies neither"));
        }
    }
}
